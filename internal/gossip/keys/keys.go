// Package keys implements the identities of gateway instances. An authority signs certificates; a certificate binds
// an instance's name to its public key until it expires. Signatures are Ed25519 (RFC 8032). From the keys in their
// certificates two instances derive a shared secret by X25519 (RFC 7748), so that a message for another receiver is
// recognised and rejected before its signature is verified.
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

// MaxName is the maximum length of the name of an instance or authority, in bytes.
const MaxName = 32

// MaxCertificate is the maximum size of an encoded certificate, in bytes.
const MaxCertificate = 220

// certificateDomain separates signatures of certificates from other signatures by the same key.
const certificateDomain = "gorsewell certificate 1\x00"

// Errors returned for invalid names, keys, certificates and files.
var (
	ErrInvalid          = errors.New("invalid key or certificate")
	ErrSignature        = errors.New("invalid certificate signature")
	ErrExpired          = errors.New("certificate has expired")
	ErrUnknownAuthority = errors.New("certificate is signed by an authority that is not accepted here")
	ErrInvalidName      = errors.New("invalid name: must be 1 to 32 letters, digits, dots, dashes and underscores")
)

// EncMode and DecMode are the CBOR modes of all signed data. Encoding is deterministic and decoding is strict, so
// that signed data has exactly one encoding.
var (
	EncMode cbor.EncMode
	DecMode cbor.DecMode
)

func init() {
	var err error
	if EncMode, err = cbor.CoreDetEncOptions().EncMode(); err != nil {
		panic(err)
	}
	DecMode, err = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxArrayElements: 4096, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err)
	}
}

// ID returns the ID of a public key: the first 8 bytes of its SHA-256.
func ID(public ed25519.PublicKey) (id gossip.KeyID) {
	sum := sha256.Sum256(public)
	copy(id[:], sum[:])
	return id
}

// IDText returns an ID in hexadecimal, for output.
func IDText(id gossip.KeyID) string { return hex.EncodeToString(id[:]) }

// Certificate binds an instance's name to a public key. The order of its fields is part of the encoding.
type Certificate struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Public    []byte
	NotAfter  int64  // Unix seconds
	Authority []byte // ID of the authority's key
	Signature []byte // by the authority, over signedBytes
}

// KeyID returns the ID of the certificate's key.
func (c *Certificate) KeyID() gossip.KeyID { return ID(c.Public) }

// signedBytes returns the bytes that the authority signs: the domain and the certificate without its signature.
func (c *Certificate) signedBytes() []byte {
	bare := *c
	bare.Signature = nil
	b, err := EncMode.Marshal(&bare)
	if err != nil {
		panic(err) // a certificate has no field whose encoding can fail
	}
	return append([]byte(certificateDomain), b...)
}

// Encode returns the encoded certificate.
func (c *Certificate) Encode() []byte {
	b, err := EncMode.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// ParseCertificate decodes a certificate and checks its format. It does not check its signature and expiry; see
// Keyring.Verify.
func ParseCertificate(b []byte) (*Certificate, error) {
	c := &Certificate{}
	if len(b) > MaxCertificate {
		return nil, ErrInvalid
	}
	if err := DecMode.Unmarshal(b, c); err != nil {
		return nil, ErrInvalid
	}
	if len(c.Public) != ed25519.PublicKeySize || len(c.Signature) != ed25519.SignatureSize ||
		len(c.Authority) != len(gossip.KeyID{}) {
		return nil, ErrInvalid
	}
	if !ValidName(c.Name) {
		return nil, ErrInvalidName
	}
	return c, nil
}

// ValidName reports whether a name is allowed for an instance or authority.
func ValidName(name string) bool {
	for _, b := range []byte(name) {
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9', b == '.', b == '-', b == '_':
		default:
			return false
		}
	}
	return len(name) >= 1 && len(name) <= MaxName
}

// Authority is a key pair that signs certificates. Private is nil if only the public key is known.
type Authority struct {
	Name    string
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
}

// NewAuthority generates an authority with a new key pair.
func NewAuthority(name string) (*Authority, error) {
	if !ValidName(name) {
		return nil, ErrInvalidName
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	return &Authority{name, public, private}, err
}

// Issue returns a signed certificate that binds a name to a public key until notAfter. It needs the authority's
// private key.
func (a *Authority) Issue(name string, public ed25519.PublicKey, notAfter time.Time) (*Certificate, error) {
	if !ValidName(name) {
		return nil, ErrInvalidName
	}
	if a.Private == nil {
		return nil, errors.New("issuing a certificate needs the authority's private key; only its public key is known")
	}
	id := ID(a.Public)
	c := &Certificate{Name: name, Public: public, NotAfter: notAfter.Unix(), Authority: id[:]}
	c.Signature = ed25519.Sign(a.Private, c.signedBytes())
	return c, nil
}

// Keyring holds an instance's own identity and the authorities whose certificates it accepts.
type Keyring struct {
	Certificate *Certificate
	Private     ed25519.PrivateKey
	Authorities []*Authority

	exchangeKey *ecdh.PrivateKey // X25519 key derived from Private
}

// NewKeyring returns a keyring. The certificate must be for the given private key, unexpired, and signed by one of the
// authorities.
func NewKeyring(c *Certificate, private ed25519.PrivateKey, authorities []*Authority, now time.Time) (*Keyring, error) {
	if !bytes.Equal(private.Public().(ed25519.PublicKey), c.Public) {
		return nil, errors.New("the public key of the certificate does not match the private key")
	}
	// The private scalar of RFC 8032 is the first half of the seed's hash; X25519 clamps it as Ed25519 does.
	seedHash := sha512.Sum512(private.Seed())
	exchangeKey, err := ecdh.X25519().NewPrivateKey(seedHash[:32])
	if err != nil {
		return nil, err
	}
	k := &Keyring{Certificate: c, Private: private, Authorities: authorities, exchangeKey: exchangeKey}
	return k, k.Verify(c, now)
}

// Verify checks that a certificate is unexpired at the given time and signed by one of the keyring's authorities.
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
	return ErrUnknownAuthority
}

// SharedSecret returns the secret that this instance shares with the holder of a certificate within a cluster.
func (k *Keyring) SharedSecret(c *Certificate, cluster string) ([]byte, error) {
	point, err := new(edwards25519.Point).SetBytes(c.Public)
	if err != nil {
		return nil, ErrInvalid
	}
	peerKey, err := ecdh.X25519().NewPublicKey(point.BytesMontgomery())
	if err != nil {
		return nil, err
	}
	secret, err := k.exchangeKey.ECDH(peerKey)
	if err != nil {
		return nil, err // a point of low order, which no honestly generated key has
	}
	// Both sides must derive the same secret, so the lesser key comes first.
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

// PEM types of the files.
const (
	pemAuthorityPrivateKey = "GORSEWELL AUTHORITY PRIVATE KEY"
	pemAuthority           = "GORSEWELL AUTHORITY"
	pemPrivateKey          = "GORSEWELL PRIVATE KEY"
	pemCertificate         = "GORSEWELL CERTIFICATE"
)

// WriteAuthority writes NAME.authority.key, the private key, readable by the owner only, and NAME.authority, the
// public key, which all instances need. It returns both paths.
func WriteAuthority(dir string, a *Authority) (private, public string, err error) {
	private, public = filepath.Join(dir, a.Name+".authority.key"), filepath.Join(dir, a.Name+".authority")
	if err := writePEM(private, pemAuthorityPrivateKey, a.Private.Seed(), a.Name, 0o600); err != nil {
		return "", "", err
	}
	return private, public, writePEM(public, pemAuthority, a.Public, a.Name, 0o644)
}

// WriteKey writes an instance's private key to a file readable by the owner only. It does not overwrite an existing
// file.
func WriteKey(path string, private ed25519.PrivateKey) error {
	return writePEM(path, pemPrivateKey, private.Seed(), "", 0o600)
}

// WriteCertificate writes a certificate. An existing file is replaced atomically.
func WriteCertificate(path string, c *Certificate) error {
	return writePEM(path, pemCertificate, c.Encode(), c.Name, 0o644)
}

// writePEM writes a PEM file under a temporary name and renames it, so that an existing file is replaced atomically.
// An existing private key, recognised by mode 0o600, is never overwritten.
func writePEM(path, kind string, b []byte, name string, mode os.FileMode) error {
	block := &pem.Block{Type: kind, Bytes: b}
	if name != "" {
		block.Headers = map[string]string{"Name": name}
	}
	if mode == 0o600 {
		if _, err := os.Lstat(path); err == nil {
			return fmt.Errorf("%s already exists: a private key is never overwritten", path)
		}
	}
	next := path + ".next"
	if err := os.WriteFile(next, pem.EncodeToMemory(block), mode); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// readPEM reads a file that must hold exactly one PEM block.
func readPEM(path string) (*pem.Block, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, rest := pem.Decode(text)
	if block == nil || len(bytes.TrimSpace(rest)) > 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrInvalid)
	}
	return block, nil
}

// File is the content of a file written by this package. Exactly one field is set.
type File struct {
	Authority   *Authority
	Private     ed25519.PrivateKey
	Certificate *Certificate
}

// ReadFile reads an authority, private key or certificate, depending on the file's PEM type.
func ReadFile(path string) (*File, error) {
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
		return nil, fmt.Errorf("%s: %w", path, ErrInvalid)
	}
	return f, nil
}

// LoadKeyring reads an instance's keyring from the files of its certificate, its private key and the accepted
// authorities.
func LoadKeyring(certificate, key string, authorities []string, now time.Time) (*Keyring, error) {
	certFile, err := ReadFile(certificate)
	if err == nil && certFile.Certificate == nil {
		err = fmt.Errorf("%s: %w: expected a certificate", certificate, ErrInvalid)
	}
	if err != nil {
		return nil, err
	}
	keyFile, err := ReadFile(key)
	if err == nil && keyFile.Private == nil {
		err = fmt.Errorf("%s: %w: expected an instance's private key", key, ErrInvalid)
	}
	if err != nil {
		return nil, err
	}
	var accepted []*Authority
	for _, path := range authorities {
		file, err := ReadFile(path)
		if err == nil && file.Authority == nil {
			err = fmt.Errorf("%s: %w: expected an authority", path, ErrInvalid)
		}
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, &Authority{Name: file.Authority.Name, Public: file.Authority.Public})
	}
	k, err := NewKeyring(certFile.Certificate, keyFile.Private, accepted, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", certificate, err)
	}
	return k, nil
}
