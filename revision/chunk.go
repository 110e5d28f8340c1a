package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/result"
)

// Limits of chunks.
const (
	maxChunkBytes = 512 << 10 // half of the largest value that the service accepts
	maxChunks     = 4_096
)

// splitDocument splits doc into chunks by the hashes of the names of its parts,
// so that a change of one part changes only one chunk. The number of chunks is a
// power of two.
func splitDocument(doc configuration.Document, chunkBytes int) ([][]byte, error) {
	doc.Revision = 0
	whole, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	n := 1
	for n*chunkBytes < len(whole) {
		n *= 2
	}
	for ; n <= maxChunks; n *= 2 {
		chunks, err := splitInto(doc, n)
		if err != nil || fits(chunks) {
			return chunks, err
		}
	}
	return nil, errs.New("the document does not fit into %d chunks of at most %d bytes", maxChunks, maxChunkBytes)
}

func fits(chunks [][]byte) bool {
	for _, c := range chunks {
		if len(c) > maxChunkBytes {
			return false
		}
	}
	return true
}

func splitInto(doc configuration.Document, n int) ([][]byte, error) {
	parts := make([]configuration.Document, n)
	at := func(kind, name string) *configuration.Document {
		return &parts[xxh3.HashString(kind+" "+name)%uint64(n)]
	}
	for _, v := range doc.Operators {
		p := at("operator", v.Name)
		p.Operators = append(p.Operators, v)
	}
	for _, v := range doc.Workspaces {
		p := at("workspace", string(v.Name))
		p.Workspaces = append(p.Workspaces, v)
	}
	for _, v := range doc.Services {
		p := at("service", string(v.Name))
		p.Services = append(p.Services, v)
	}
	for _, v := range doc.Upstreams {
		p := at("upstream", string(v.Name))
		p.Upstreams = append(p.Upstreams, v)
	}
	for _, v := range doc.Rules {
		p := at("rule", v.Name)
		p.Rules = append(p.Rules, v)
	}
	for _, v := range doc.Placements {
		p := at("placement", v.Name())
		p.Placements = append(p.Placements, v)
	}
	chunks := make([][]byte, n)
	for i, p := range parts {
		body, err := json.Marshal(p)
		if err != nil {
			return nil, err
		}
		chunks[i] = body
	}
	return chunks, nil
}

func joinChunks(parts []configuration.Document) configuration.Document {
	var doc configuration.Document
	for _, p := range parts {
		doc.Operators = append(doc.Operators, p.Operators...)
		doc.Workspaces = append(doc.Workspaces, p.Workspaces...)
		doc.Services = append(doc.Services, p.Services...)
		doc.Upstreams = append(doc.Upstreams, p.Upstreams...)
		doc.Rules = append(doc.Rules, p.Rules...)
		doc.Placements = append(doc.Placements, p.Placements...)
	}
	return configuration.Sorted(doc)
}

// Load returns the document of rec. The document is empty if the revision of rec
// is 0. Chunks that the newest document loaded so far contains are taken from
// memory. Load returns PlatformUnavailable if another chunk cannot be read.
func (s *Store) Load(ctx context.Context, rec Record) (configuration.Document, *result.Error) {
	doc, err := s.load(ctx, rec)
	if err != nil {
		return configuration.Document{}, unavailable(err)
	}
	return doc, nil
}

func (s *Store) load(ctx context.Context, rec Record) (configuration.Document, error) {
	if rec.Revision == 0 {
		return configuration.Document{}, nil
	}
	read := make(map[string]configuration.Document, len(rec.Chunks))
	var parts []configuration.Document
	for _, key := range rec.Chunks {
		part, err := s.readChunk(ctx, key)
		if err != nil {
			return configuration.Document{}, err
		}
		read[key] = part
		parts = append(parts, part)
	}
	doc := joinChunks(parts)
	if configuration.Digest(doc) != rec.Digest {
		return configuration.Document{}, errs.New("the chunks of revision %d do not match its digest", rec.Revision)
	}
	doc.Revision = rec.Revision
	s.cacheChunks(rec.Revision, read)
	return doc, nil
}

// cacheChunks keeps the chunks of a document in memory if it is the newest one
// loaded so far.
func (s *Store) cacheChunks(rev ident.Revision, read map[string]configuration.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev >= s.cachedRevision {
		s.cachedRevision = rev
		s.cache = read
	}
}

func (s *Store) readChunk(ctx context.Context, key string) (configuration.Document, error) {
	s.mu.Lock()
	part, ok := s.cache[key]
	s.mu.Unlock()
	if ok {
		return part, nil
	}
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return part, err
	}
	if bodyDigest(e.Value) != keyDigest(key) {
		return part, errs.New("the value of %s does not match the digest in its key", key)
	}
	return part, json.Unmarshal(e.Value, &part)
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// keyDigest returns the digest at the end of the key of a chunk.
func keyDigest(key string) string {
	return key[strings.LastIndexByte(key, '-')+1:]
}
