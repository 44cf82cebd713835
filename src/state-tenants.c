#include "state-tenants.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* The time of a comparison of keys must not depend on how much of them is
 * equal. */
#define HASH_KEYCMP(a, b, n) sodium_memcmp(a, b, n)
#include <uthash.h>

#define SCHEME "Bearer"

/* Room for this many tenants is allocated at first. */
#define INITIAL_CAPACITY 16

/* Characters between the scheme and the key, and at the end of a header. */
#define BLANKS " \t"

/* One key. */
typedef struct KeyNode {
    UT_hash_handle hh;
    uint32_t tenant; /* index */
    char key[];      /* its length is in hh */
} KeyNode;

/* One name. */
typedef struct NameNode {
    UT_hash_handle hh;
    char name[];
} NameNode;

struct HrTenants {
    HrTenant *list;
    uint32_t count;
    uint32_t capacity; /* of list */
    KeyNode *keys;
    NameNode *names;
};

/* Returns the hash of a text under a random key of this process, so that a
 * caller cannot choose keys that share a bucket. */
static unsigned
hash_text(const char *text, size_t length)
{
    static unsigned char secret[crypto_shorthash_KEYBYTES];
    static bool has_secret;
    unsigned char digest[crypto_shorthash_BYTES];
    unsigned hash;

    if (!has_secret) {
        crypto_shorthash_keygen(secret);
        has_secret = true;
    }
    crypto_shorthash(digest, (const unsigned char *)text, length, secret);
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

/* Destructor of a set: frees its hash tables. */
static int
destroy_tenants(HrTenants *tenants)
{
    HASH_CLEAR(hh, tenants->keys);
    HASH_CLEAR(hh, tenants->names);
    return 0;
}

HrTenants *
HrTenants_Create(const void *parent)
{
    HrTenants *tenants = talloc_zero(parent, HrTenants);

    if (tenants != NULL) {
        talloc_set_destructor(tenants, destroy_tenants);
    }
    return tenants;
}

/* Returns true if a text can be the value of a header: it has no control
 * characters and neither begins nor ends with a space. */
static bool
is_header_value(const char *text, size_t length)
{
    size_t i;

    for (i = 0; i < length; i++) {
        if ((unsigned char)text[i] < ' ' || text[i] == 0x7f) {
            return false;
        }
    }
    return length > 0 && text[0] != ' ' && text[length - 1] != ' ';
}

int
HrTenants_Add(HrTenants *tenants, const HrTenant *tenant, uint32_t *index)
{
    size_t length = strlen(tenant->name);
    unsigned hash = hash_text(tenant->name, length);
    HrTenant *grown;
    NameNode *node;

    if (!is_header_value(tenant->name, length)) {
        return HR_ERR_INVALID;
    }
    HASH_FIND_BYHASHVALUE(hh, tenants->names, tenant->name, length, hash,
                          node);
    if (node != NULL) {
        return HR_ERR_DUPLICATE;
    }
    if (tenants->count == tenants->capacity) {
        uint32_t capacity =
            tenants->capacity > 0 ? tenants->capacity * 2 : INITIAL_CAPACITY;

        grown = talloc_realloc(tenants, tenants->list, HrTenant, capacity);
        if (grown == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        tenants->list = grown;
        tenants->capacity = capacity;
    }
    node = talloc_zero_size(tenants, sizeof(*node) + length + 1);
    if (node == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    memcpy(node->name, tenant->name, length);
    HASH_ADD_KEYPTR_BYHASHVALUE(hh, tenants->names, node->name, length, hash,
                                node);
    *index = tenants->count++;
    tenants->list[*index] = *tenant;
    tenants->list[*index].name = node->name;
    return HR_OK;
}

/* Returns the node of a key, or NULL. */
static KeyNode *
find_key(const HrTenants *tenants, const char *key, size_t length,
         unsigned hash)
{
    KeyNode *node;

    HASH_FIND_BYHASHVALUE(hh, tenants->keys, key, length, hash, node);
    return node;
}

int
HrTenants_AddKey(HrTenants *tenants, uint32_t index, const char *key,
                 size_t length)
{
    unsigned hash = hash_text(key, length);
    KeyNode *node = find_key(tenants, key, length, hash);

    if (!is_header_value(key, length)) {
        return HR_ERR_INVALID;
    }
    if (node != NULL) {
        return node->tenant == index ? HR_OK : HR_ERR_DUPLICATE;
    }
    node = talloc_size(tenants, sizeof(*node) + length);
    if (node == NULL) {
        return HR_ERR_NO_MEMORY;
    }
    memset(node, 0, sizeof(*node));
    node->tenant = index;
    memcpy(node->key, key, length);
    HASH_ADD_KEYPTR_BYHASHVALUE(hh, tenants->keys, node->key, length, hash,
                                node);
    return HR_OK;
}

uint32_t
HrTenants_GetCount(const HrTenants *tenants)
{
    return tenants->count;
}

const HrTenant *
HrTenants_Get(const HrTenants *tenants, uint32_t index)
{
    return &tenants->list[index];
}

/* Returns the key in the value of an Authorization header and sets its length.
 * Returns NULL if the scheme is another one or there is no key. Blanks around
 * the key are not part of it. */
static const char *
find_bearer_key(const char *value, size_t *length)
{
    value += strspn(value, BLANKS);
    if (strncasecmp(value, SCHEME, strlen(SCHEME)) != 0) {
        return NULL;
    }
    value += strlen(SCHEME);
    if (strspn(value, BLANKS) == 0) {
        return NULL;
    }
    value += strspn(value, BLANKS);
    *length = strlen(value);
    while (*length > 0 && strchr(BLANKS, value[*length - 1]) != NULL) {
        (*length)--;
    }
    return *length > 0 ? value : NULL;
}

HrCredential
HrTenants_Identify(const HrTenants *tenants, const char *authorization,
                   uint32_t count, const HrTenant **tenant)
{
    const KeyNode *node;
    const char *key;
    size_t length;

    *tenant = NULL;
    if (count == 0 || authorization == NULL) {
        return HR_CREDENTIAL_NONE;
    }
    key = find_bearer_key(authorization, &length);
    if (count > 1 || key == NULL) {
        return HR_CREDENTIAL_MALFORMED;
    }
    node = find_key(tenants, key, length, hash_text(key, length));
    if (node == NULL) {
        return HR_CREDENTIAL_UNKNOWN;
    }
    *tenant = &tenants->list[node->tenant];
    return HR_CREDENTIAL_KNOWN;
}

HrAccess
HrTenants_DecideAccess(const HrTenants *tenants, bool is_public, bool outdated,
                       HrCredential credential)
{
    if (tenants == NULL || is_public) {
        return HR_ACCESS_GRANTED;
    }
    if (outdated) {
        return HR_ACCESS_UNCERTAIN;
    }
    return credential == HR_CREDENTIAL_KNOWN ? HR_ACCESS_GRANTED
                                             : HR_ACCESS_DENIED;
}

const char *
HrCredential_GetName(HrCredential credential)
{
    static const char *const names[] = {"no_key", "known_key", "unknown_key",
                                        "malformed_key"};

    return names[credential];
}
