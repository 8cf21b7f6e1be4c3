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

// keysCommand returns the command whose sub-commands create, show and rotate keys and certificates of instances.
func keysCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "keys",
		Short: "Create and show the keys by which instances authenticate one another",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("expected a sub-command of keys: authority, issue, show or rotate")}
		},
	}
	c.AddCommand(authorityCommand(), issueCommand(), showCommand(), rotateCommand())
	return c
}

func authorityCommand() *cobra.Command {
	var out, name string
	c := &cobra.Command{
		Use:   "authority",
		Short: "Create an authority, which signs certificates",
		Long: "Creates an authority. NAME.authority.key holds its private key and stays where certificates are issued; NAME.authority is\n" +
			"distributed to all instances. An existing key is never overwritten.",
		Example: "  gorsewell keys authority --name 2027 --out keys",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			a, err := keys.NewAuthority(name)
			if errors.Is(err, keys.ErrInvalidName) {
				return usageError{fmt.Errorf("--name %q: %w", name, err)}
			} else if err != nil {
				return err
			}
			privatePath, publicPath, err := keys.WriteAuthority(out, a)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", privatePath, publicPath)
			}
			return err
		},
	}
	c.Flags().StringVar(&out, "out", ".", "folder to write to")
	c.Flags().StringVar(&name, "name", "authority", "name of the authority")
	return c
}

func issueCommand() *cobra.Command {
	var authority, out, name string
	var validity time.Duration
	c := &cobra.Command{
		Use:   "issue",
		Short: "Issue a certificate for an instance",
		Long: "Issues NAME.crt, a certificate that binds an instance's name to its key until the certificate expires. The key is\n" +
			"NAME.key, which is created if it does not exist.",
		Example: "  gorsewell keys issue --authority keys/2027.authority.key --name n3 --out keys",
		Args:    checkArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if !keys.ValidName(name) {
				return usageError{fmt.Errorf("--name %q: %w", name, keys.ErrInvalidName)}
			}
			if validity <= 0 {
				return usageError{fmt.Errorf("--for %v: must be more than 0", validity)}
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
			cert, err := a.Issue(name, private.Public().(ed25519.PublicKey), time.Now().Add(validity))
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
	c.Flags().StringVar(&authority, "authority", "", "file with the authority's private key")
	c.Flags().StringVar(&out, "out", ".", "folder to write to")
	c.Flags().StringVar(&name, "name", "", "the instance's name, as in LB_NAME")
	c.Flags().DurationVar(&validity, "for", 90*24*time.Hour, "how long the certificate is valid")
	return c
}

// readAuthority reads an authority with its private key.
func readAuthority(path string) (*keys.Authority, error) {
	if path == "" {
		return nil, usageError{errors.New("--authority is required")}
	}
	f, err := keys.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if f.Authority == nil || f.Authority.Private == nil {
		return nil, usageError{fmt.Errorf("%s: expected the private key of an authority", path)}
	}
	return f.Authority, nil
}

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show FILE...",
		Short:   "Show the contents of key files, except private keys",
		Long:    "Shows what each file contains, but no private keys. Certificates are verified against the authorities among the files.",
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
					fmt.Fprintf(out, "%s: authority %s, private, id %s\n", args[i], f.Authority.Name,
						keys.IDText(keys.ID(f.Authority.Public)))
				case f.Authority != nil:
					fmt.Fprintf(out, "%s: authority %s, id %s\n", args[i], f.Authority.Name,
						keys.IDText(keys.ID(f.Authority.Public)))
				case f.Private != nil:
					fmt.Fprintf(out, "%s: private key, id %s\n", args[i],
						keys.IDText(keys.ID(f.Private.Public().(ed25519.PublicKey))))
				default:
					fmt.Fprintf(out, "%s: certificate of %s, id %s, until %s, by %x%s\n",
						args[i], f.Certificate.Name, keys.IDText(f.Certificate.KeyID()),
						time.Unix(f.Certificate.NotAfter, 0).UTC().Format(time.RFC3339), f.Certificate.Authority,
						verdict(ring, f.Certificate))
				}
			}
			return nil
		},
	}
}

// verdict returns the end of the line about a certificate, which says whether the certificate is accepted. If ring has
// no authorities, only the expiry is checked.
func verdict(ring *keys.Keyring, cert *keys.Certificate) string {
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
	var validity time.Duration
	c := &cobra.Command{
		Use:   "rotate CERTIFICATE...",
		Short: "Reissue certificates, by another authority or with a later expiry",
		Long: "Reissues each certificate for the same name and key. To change the authority: configure both authorities at all instances\n" +
			"and send SIGHUP; rotate the certificates with the new authority and send SIGHUP; remove the old authority and send SIGHUP.",
		Example: "  gorsewell keys rotate --authority keys/2028.authority.key --out next keys/n*.crt",
		Args:    checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := readAuthority(authority)
			if err != nil {
				return err
			}
			if validity <= 0 {
				return usageError{fmt.Errorf("--for %v: must be more than 0", validity)}
			}
			for _, path := range args {
				f, err := keys.ReadFile(path)
				if err != nil {
					return err
				}
				if f.Certificate == nil {
					return usageError{fmt.Errorf("%s: expected a certificate", path)}
				}
				next, err := a.Issue(f.Certificate.Name, f.Certificate.Public, time.Now().Add(validity))
				if err != nil {
					return err
				}
				target := filepath.Join(out, filepath.Base(path))
				if err := keys.WriteCertificate(target, next); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), target)
			}
			return nil
		},
	}
	c.Flags().StringVar(&authority, "authority", "", "file with the private key of the authority that signs")
	c.Flags().StringVar(&out, "out", ".", "folder to write to; files of the same name in it are replaced")
	c.Flags().DurationVar(&validity, "for", 90*24*time.Hour, "how long the certificates are valid")
	return c
}
