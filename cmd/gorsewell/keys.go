package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"gorsewell/internal/gossip/keys"
)

// keyCommands makes and shows what instances prove themselves by.
func keysCommand() *cobra.Command {
	all := &cobra.Command{
		Use:   "keys",
		Short: "Make and show the keys by which instances know one another",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("keys needs one of authority, issue, show and rotate")}
		},
	}
	all.AddCommand(authorityCommand(), issueCommand(), showCommand(), rotateCommand())
	return all
}

func authorityCommand() *cobra.Command {
	var out, name string
	c := &cobra.Command{
		Use:   "authority",
		Short: "Make an authority, which signs certificates",
		Long: "Makes an authority. NAME.authority.key signs and stays where certificates are issued; NAME.authority goes to all\n" +
			"instances. A key that exists is never written over.",
		Example: "  gorsewell keys authority --name 2027 --out keys",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			a, err := keys.NewAuthority(name)
			if errors.Is(err, keys.ErrInvalidName) {
				return usageError{fmt.Errorf("--name %q: %w", name, err)}
			} else if err != nil {
				return err
			}
			private, public, err := keys.WriteAuthority(out, a)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", private, public)
			}
			return err
		},
	}
	c.Flags().StringVar(&out, "out", ".", "folder to write to")
	c.Flags().StringVar(&name, "name", "authority", "what to call it")
	return c
}

func issueCommand() *cobra.Command {
	var authority, out, name string
	var lasts time.Duration
	c := &cobra.Command{
		Use:   "issue",
		Short: "Issue a certificate for an instance",
		Long: "Issues a certificate that binds an instance's name to a key until it expires: NAME.crt, and NAME.key unless that exists\n" +
			"already, in which case the certificate is for it.",
		Example: "  gorsewell keys issue --authority keys/2027.authority.key --name n3 --out keys",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if !keys.ValidName(name) {
				return usageError{fmt.Errorf("--name %q: %w", name, keys.ErrInvalidName)}
			}
			if lasts <= 0 {
				return usageError{fmt.Errorf("--for %v: must be more than 0", lasts)}
			}
			a, err := readAuthority(authority)
			if err != nil {
				return err
			}
			keyPath, certPath := filepath.Join(out, name+".key"), filepath.Join(out, name+".crt")
			var private ed25519.PrivateKey
			if old, err := keys.ReadFile(keyPath); err == nil && old.Private != nil {
				private = old.Private
			} else {
				if _, private, err = ed25519.GenerateKey(rand.Reader); err != nil {
					return err
				}
				if err := keys.WriteKey(keyPath, private); err != nil {
					return err
				}
			}
			cert, err := a.Issue(name, private.Public().(ed25519.PublicKey), time.Now().Add(lasts))
			if err != nil {
				return err
			}
			if err := keys.WriteCertificate(certPath, cert); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", keyPath, certPath)
			return nil
		},
	}
	c.Flags().StringVar(&authority, "authority", "", "the authority's private key")
	c.Flags().StringVar(&out, "out", ".", "folder to write to")
	c.Flags().StringVar(&name, "name", "", "the instance's name, as LB_NAME says it")
	c.Flags().DurationVar(&lasts, "for", 90*24*time.Hour, "how long the certificate counts")
	return c
}

func readAuthority(path string) (*keys.Authority, error) {
	if path == "" {
		return nil, usageError{errors.New("--authority is needed")}
	}
	f, err := keys.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if f.Authority == nil || f.Authority.Private == nil {
		return nil, usageError{fmt.Errorf("%s is no private key of an authority", path)}
	}
	return f.Authority, nil
}

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show FILE...",
		Short:   "Tell what key files hold, never a private key itself",
		Long:    "Tells what each file holds. Certificates are checked against the authorities among the files.",
		Example: "  gorsewell keys show keys/2027.authority keys/n3.crt",
		Args:    checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			var files []*keys.File
			ring := &keys.Keyring{}
			for _, path := range args {
				f, err := keys.ReadFile(path)
				if err != nil {
					return err
				}
				files = append(files, f)
				if f.Authority != nil {
					ring.Authorities = append(ring.Authorities, f.Authority)
				}
			}
			for i, f := range files {
				switch out := c.OutOrStdout(); {
				case f.Authority != nil && f.Authority.Private != nil:
					fmt.Fprintf(out, "%s: authority %s, private, id %s\n", args[i], f.Authority.Name, keys.IDText(keys.ID(f.Authority.Public)))
				case f.Authority != nil:
					fmt.Fprintf(out, "%s: authority %s, id %s\n", args[i], f.Authority.Name, keys.IDText(keys.ID(f.Authority.Public)))
				case f.Private != nil:
					fmt.Fprintf(out, "%s: private key, id %s\n", args[i], keys.IDText(keys.ID(f.Private.Public().(ed25519.PublicKey))))
				default:
					fmt.Fprintf(out, "%s: certificate of %s, id %s, until %s, by %x%s\n", args[i], f.Certificate.Name, keys.IDText(f.Certificate.KeyID()),
						time.Unix(f.Certificate.NotAfter, 0).UTC().Format(time.RFC3339), f.Certificate.Authority, validity(ring, f.Certificate))
				}
			}
			return nil
		},
	}
}

func validity(ring *keys.Keyring, cert *keys.Certificate) string {
	if len(ring.Authorities) == 0 {
		if time.Now().Unix() > cert.NotAfter {
			return ": " + keys.ErrExpired.Error()
		}
		return ""
	}
	if err := ring.Verify(cert, time.Now()); err != nil {
		return ": " + err.Error()
	}
	return ": counts"
}

func rotateCommand() *cobra.Command {
	var authority, out string
	var lasts time.Duration
	c := &cobra.Command{
		Use:   "rotate CERTIFICATE...",
		Short: "Issue certificates anew, by another authority or for longer",
		Long: "Issues each certificate anew for its name and key. To change the authority: give all instances both authorities and send\n" +
			"SIGHUP, rotate the certificates by the new one, send SIGHUP, then take the old authority away and send SIGHUP again.",
		Example: "  gorsewell keys rotate --authority keys/2028.authority.key --out next keys/n*.crt",
		Args:    checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := readAuthority(authority)
			if err != nil {
				return err
			}
			if lasts <= 0 {
				return usageError{fmt.Errorf("--for %v: must be more than 0", lasts)}
			}
			for _, path := range args {
				f, err := keys.ReadFile(path)
				if err != nil {
					return err
				}
				if f.Certificate == nil {
					return usageError{fmt.Errorf("%s is no certificate", path)}
				}
				next, err := a.Issue(f.Certificate.Name, f.Certificate.Public, time.Now().Add(lasts))
				if err != nil {
					return err
				}
				to := filepath.Join(out, filepath.Base(path))
				if err := keys.WriteCertificate(to, next); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), to)
			}
			return nil
		},
	}
	c.Flags().StringVar(&authority, "authority", "", "the private key of the authority that signs from now on")
	c.Flags().StringVar(&out, "out", ".", "folder to write to; the certificates' own replaces them")
	c.Flags().DurationVar(&lasts, "for", 90*24*time.Hour, "how long the certificates count")
	return c
}
