#ifndef HR_STATE_TENANTS_H
#define HR_STATE_TENANTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base-error.h"

/* The callers that have API keys (tenants) in one version of the routes. The
 * set is immutable once it is filled. */
typedef struct HrTenants HrTenants;

/* One tenant. */
typedef struct HrTenant {
    const char *name;
    bool has_priority;
    uint32_t priority; /* replaces that of the route if has_priority is set; 0
                          is the most urgent */
    double rate_per_s; /* requests that all gateways together accept; 0: no
                          limit */
    double burst;      /* requests beyond the rate */
} HrTenant;

/* What the Authorization headers of a request state. */
typedef enum HrCredential {
    HR_CREDENTIAL_NONE,      /* there is no such header */
    HR_CREDENTIAL_KNOWN,     /* the key of a tenant */
    HR_CREDENTIAL_UNKNOWN,   /* a key of no tenant */
    HR_CREDENTIAL_MALFORMED, /* several headers, another scheme, or no key */
} HrCredential;

/* Whether a request may be forwarded. */
typedef enum HrAccess {
    HR_ACCESS_GRANTED,
    HR_ACCESS_DENIED,    /* the route needs the key of a tenant */
    HR_ACCESS_UNCERTAIN, /* the keys may have been revoked meanwhile */
} HrAccess;

/* Creates an empty set as a talloc child of parent. Returns NULL when out of
 * memory. */
HrTenants *HrTenants_Create(const void *parent);

/* Adds a copy of a tenant and sets *index to its index. Returns HR_OK,
 * HR_ERR_DUPLICATE if another tenant has the name, HR_ERR_INVALID if the name
 * cannot be the value of a header, or HR_ERR_NO_MEMORY. */
int HrTenants_Add(HrTenants *tenants, const HrTenant *tenant, uint32_t *index);

/* Adds a key of length bytes to a tenant. A key that the tenant already has is
 * ignored. Returns HR_OK, HR_ERR_DUPLICATE if it is the key of another tenant,
 * HR_ERR_INVALID if it cannot be sent in a header, or HR_ERR_NO_MEMORY. */
int HrTenants_AddKey(HrTenants *tenants, uint32_t index, const char *key,
                     size_t length);

uint32_t HrTenants_GetCount(const HrTenants *tenants);
const HrTenant *HrTenants_Get(const HrTenants *tenants, uint32_t index);

/* Evaluates the Authorization headers of a request: the value of the first
 * one, and how many there are. Sets *tenant to the tenant whose key it is, or
 * to NULL. */
HrCredential HrTenants_Identify(const HrTenants *tenants,
                                const char *authorization, uint32_t count,
                                const HrTenant **tenant);

/* Decides on a request. tenants may be NULL: no request needs a key. outdated
 * states that the keys known here may have been revoked, and that requests
 * must not be served with such keys. */
HrAccess HrTenants_DecideAccess(const HrTenants *tenants, bool is_public,
                                bool outdated, HrCredential credential);

/* Returns the name of a credential for logs. */
const char *HrCredential_GetName(HrCredential credential);

#endif
