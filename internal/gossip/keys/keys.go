// Package keys holds what proves who an instance is: authorities, which sign certificates, and certificates, which bind an
// instance's name to its key until they expire. Ed25519 signs (RFC 8032); from two certificates' keys both instances derive
// one secret by X25519 (RFC 7748), so that what is not meant for them is told apart before a signature is looked at.
package keys

import (
	"bytes"
	"crypto/ecdh"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filippo.io/edwards25519"
	"github.com/fxamacker/cbor/v2"

	"gorsewell/internal/gossip"
)

// MaxName is the longest name of an instance, in bytes.
const MaxName = 32

// MaxCertificate is the longest a certificate can be, in bytes.
const MaxCertificate = 220

// What separates signatures of one kind from those of another.
const certificateDomain = "gorsewell certificate 1\x00"

// Errors of what is read.
var (
	ErrForm      = errors.New("not in the form of this file")
	ErrSignature = errors.New("the signature does not fit")
	ErrExpired   = errors.New("the certificate has expired")
	ErrUnknown   = errors.New("the certificate is of an authority that does not count here")
	ErrName      = errors.New("a name is 1 to 32 letters, digits, dots, dashes and underscores")
)

// Encoding and decoding are strict, so that a thing has one form: what is signed cannot be written in two ways.
var (
	Enc cbor.EncMode
	Dec cbor.DecMode
)

func init() {
	var err error
	if Enc, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		panic(err)
	}
	Dec, err = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err)
	}
}

// ID is by what a key is known.
func ID(public ed25519.PublicKey) (id gossip.KeyID) {
	sum := sha256.Sum256(public)
	copy(id[:], sum[:])
	return id
}

// IDText is an ID as people read it.
func IDText(id gossip.KeyID) string { return hex.EncodeToString(id[:]) }

// Certificate binds a name to a key.
type Certificate struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Public    []byte
	NotAfter  int64 // Unix seconds
	Authority []byte
	Signature []byte
}

// Key is the ID of the certificate's key.
func (c *Certificate) Key() gossip.KeyID { return ID(c.Public) }

func (c *Certificate) signedBytes() []byte {
	bare := *c
	bare.Signature = nil
	b, err := Enc.Marshal(&bare)
	if err != nil {
		panic(err) // nothing in it can fail to be encoded
	}
	return append([]byte(certificateDomain), b...)
}

// Encode gives the certificate's bytes.
func (c *Certificate) Encode() []byte {
	b, err := Enc.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// ParseCertificate reads a certificate. Whether it counts is for Keyring.Verify to say.
func ParseCertificate(b []byte) (*Certificate, error) {
	c := &Certificate{}
	if len(b) > MaxCertificate {
		return nil, ErrForm
	}
	if err := Dec.Unmarshal(b, c); err != nil {
		return nil, ErrForm
	}
	if len(c.Public) != ed25519.PublicKeySize || len(c.Signature) != ed25519.SignatureSize || len(c.Authority) != len(gossip.KeyID{}) {
		return nil, ErrForm
	}
	if !ValidName(c.Name) {
		return nil, ErrName
	}
	return c, nil
}

// ValidName tells whether an instance may be called so.
func ValidName(name string) bool {
	for _, r := range []byte(name) {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '-', r == '_':
		default:
			return false
		}
	}
	return len(name) >= 1 && len(name) <= MaxName
}

// Authority is one whose certificates count. Private is nil where only its public half is known.
type Authority struct {
	Name    string
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
}

// NewAuthority makes one.
func NewAuthority(name string) (*Authority, error) {
	if !ValidName(name) {
		return nil, ErrName
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	return &Authority{name, public, private}, err
}

// Issue signs a certificate for a key.
func (a *Authority) Issue(name string, public ed25519.PublicKey, notAfter time.Time) (*Certificate, error) {
	if !ValidName(name) {
		return nil, ErrName
	}
	if a.Private == nil {
		return nil, errors.New("the authority's private key is needed to issue certificates")
	}
	id := ID(a.Public)
	c := &Certificate{Name: name, Public: public, NotAfter: notAfter.Unix(), Authority: id[:]}
	c.Signature = ed25519.Sign(a.Private, c.signedBytes())
	return c, nil
}

// Keyring is what one instance proves itself by, and by what it judges others.
type Keyring struct {
	Certificate *Certificate
	Private     ed25519.PrivateKey
	Authorities []*Authority

	exchangeKey *ecdh.PrivateKey
}

// NewKeyring puts one together. The certificate must fit the key and count by one of the authorities.
func NewKeyring(c *Certificate, private ed25519.PrivateKey, authorities []*Authority, now time.Time) (*Keyring, error) {
	if !bytes.Equal(private.Public().(ed25519.PublicKey), c.Public) {
		return nil, errors.New("the certificate is of another key")
	}
	// RFC 8032's private scalar is the first half of the seed's hash; X25519 clamps it as Ed25519 does.
	half := sha512.Sum512(private.Seed())
	x, err := ecdh.X25519().NewPrivateKey(half[:32])
	if err != nil {
		return nil, err
	}
	k := &Keyring{Certificate: c, Private: private, Authorities: authorities, exchangeKey: x}
	return k, k.Verify(c, now)
}

// Verify tells whether a certificate counts at a time.
func (k *Keyring) Verify(c *Certificate, now time.Time) error {
	if now.Unix() > c.NotAfter {
		return ErrExpired
	}
	for _, a := range k.Authorities {
		if id := ID(a.Public); bytes.Equal(id[:], c.Authority) {
			if !ed25519.Verify(a.Public, c.signedBytes(), c.Signature) {
				return ErrSignature
			}
			return nil
		}
	}
	return ErrUnknown
}

// Shared is the secret that this instance and the one of a certificate have in common, for one cluster.
func (k *Keyring) Shared(c *Certificate, cluster string) ([]byte, error) {
	point, err := new(edwards25519.Point).SetBytes(c.Public)
	if err != nil {
		return nil, ErrForm
	}
	other, err := ecdh.X25519().NewPublicKey(point.BytesMontgomery())
	if err != nil {
		return nil, err
	}
	secret, err := k.exchangeKey.ECDH(other)
	if err != nil {
		return nil, err // a point of low order: nobody's honest key
	}
	// The same on both sides: the lesser key comes first.
	low, high := k.Certificate.Public, c.Public
	if bytes.Compare(low, high) > 0 {
		low, high = high, low
	}
	m := hmac.New(sha256.New, secret)
	fmt.Fprintf(m, "gorsewell gossip 1\x00%s\x00", cluster)
	m.Write(low)
	m.Write(high)
	return m.Sum(nil), nil
}

// The kinds of files.
const (
	pemAuthorityPrivateKey = "GORSEWELL AUTHORITY PRIVATE KEY"
	pemAuthority           = "GORSEWELL AUTHORITY"
	pemPrivateKey          = "GORSEWELL PRIVATE KEY"
	pemCertificate         = "GORSEWELL CERTIFICATE"
)

// WriteAuthority writes NAME.authority.key, which only the owner may read, and NAME.authority, which goes to all instances.
func WriteAuthority(dir string, a *Authority) (private, public string, err error) {
	private, public = filepath.Join(dir, a.Name+".authority.key"), filepath.Join(dir, a.Name+".authority")
	if err := writePEM(private, pemAuthorityPrivateKey, a.Private.Seed(), a.Name, 0o600); err != nil {
		return "", "", err
	}
	return private, public, writePEM(public, pemAuthority, a.Public, a.Name, 0o644)
}

// WriteKey writes an instance's private key.
func WriteKey(path string, private ed25519.PrivateKey) error {
	return writePEM(path, pemPrivateKey, private.Seed(), "", 0o600)
}

// WriteCertificate writes a certificate. One that stands there already is replaced whole.
func WriteCertificate(path string, c *Certificate) error {
	return writePEM(path, pemCertificate, c.Encode(), c.Name, 0o644)
}

// writePEM replaces a file whole; a private key that stands there already is never written over.
func writePEM(path, kind string, b []byte, name string, mode os.FileMode) error {
	block := &pem.Block{Type: kind, Bytes: b}
	if name != "" {
		block.Headers = map[string]string{"Name": name}
	}
	if mode == 0o600 {
		if _, err := os.Lstat(path); err == nil {
			return fmt.Errorf("%s exists already and is not written over", path)
		}
	}
	next := path + ".next"
	if err := os.WriteFile(next, pem.EncodeToMemory(block), mode); err != nil {
		return err
	}
	return os.Rename(next, path)
}

func readPEM(path string) (*pem.Block, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, rest := pem.Decode(text)
	if block == nil || len(bytes.TrimSpace(rest)) > 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrForm)
	}
	return block, nil
}

// File is what a file of this package holds: one of these is set.
type File struct {
	Authority   *Authority
	Private     ed25519.PrivateKey
	Certificate *Certificate
}

// Read reads any of the files.
func Read(path string) (*File, error) {
	block, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	f := &File{}
	switch {
	case block.Type == pemAuthorityPrivateKey && len(block.Bytes) == ed25519.SeedSize:
		private := ed25519.NewKeyFromSeed(block.Bytes)
		f.Authority = &Authority{block.Headers["Name"], private.Public().(ed25519.PublicKey), private}
	case block.Type == pemAuthority && len(block.Bytes) == ed25519.PublicKeySize:
		f.Authority = &Authority{Name: block.Headers["Name"], Public: block.Bytes}
	case block.Type == pemPrivateKey && len(block.Bytes) == ed25519.SeedSize:
		f.Private = ed25519.NewKeyFromSeed(block.Bytes)
	case block.Type == pemCertificate:
		if f.Certificate, err = ParseCertificate(block.Bytes); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	default:
		return nil, fmt.Errorf("%s: %w", path, ErrForm)
	}
	return f, nil
}

// Load reads an instance's keyring from its files.
func Load(certificate, key string, authorities []string, now time.Time) (*Keyring, error) {
	c, err := Read(certificate)
	if err == nil && c.Certificate == nil {
		err = fmt.Errorf("%s: %w: a certificate is wanted", certificate, ErrForm)
	}
	if err != nil {
		return nil, err
	}
	p, err := Read(key)
	if err == nil && p.Private == nil {
		err = fmt.Errorf("%s: %w: an instance's private key is wanted", key, ErrForm)
	}
	if err != nil {
		return nil, err
	}
	var all []*Authority
	for _, path := range authorities {
		a, err := Read(path)
		if err == nil && a.Authority == nil {
			err = fmt.Errorf("%s: %w: an authority is wanted", path, ErrForm)
		}
		if err != nil {
			return nil, err
		}
		all = append(all, &Authority{Name: a.Authority.Name, Public: a.Authority.Public})
	}
	k, err := NewKeyring(c.Certificate, p.Private, all, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", certificate, err)
	}
	return k, nil
}
