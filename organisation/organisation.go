package organisation

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Organisation is a customer whose callers share keys and a limit.
type Organisation struct {
	// Name identifies the organisation; upstreams are told it.
	Name string
	// Priority takes precedence over the priority of a rule if HasPriority is true; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the requests of the organisation over all VMs, in requests per second and in requests. There is no limit if Rate
	// is 0.
	Rate, Burst float64
}

// digest is the keyed hash of a key.
type digest [sha256.Size]byte

// Directory finds organisations; it must not be changed once it is in use.
type Directory struct {
	secret []byte
	byName map[string]*Organisation
	byKey  map[digest]*Organisation
}

// NewDirectory returns a directory without organisations.
func NewDirectory() *Directory {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // It never returns an error.
	return &Directory{secret: secret, byName: make(map[string]*Organisation), byKey: make(map[digest]*Organisation)}
}

// Add adds an organisation with its keys.
func (d *Directory) Add(o Organisation, keys []string) {
	d.byName[o.Name] = &o
	for _, key := range keys {
		d.byKey[d.digest(key)] = &o
	}
}

// Find returns the organisation that holds the key, or nil if there is none.
func (d *Directory) Find(key string) *Organisation {
	return d.byKey[d.digest(key)]
}

// ByName returns the organisation with the name, or nil if there is none.
func (d *Directory) ByName(name string) *Organisation {
	return d.byName[name]
}

// All returns all organisations by name. The caller must not change the map.
func (d *Directory) All() map[string]*Organisation {
	return d.byName
}

func (d *Directory) digest(key string) (sum digest) {
	hash := hmac.New(sha256.New, d.secret)
	hash.Write([]byte(key))
	hash.Sum(sum[:0])
	return sum
}
