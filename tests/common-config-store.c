#include "common-config-store.h"

#include <string.h>
#include <talloc.h>

/* Creates an empty store. */
SimStore *
SimStore_Create(const void *parent)
{
    SimStore *store = talloc_zero(parent, SimStore);

    store->current = -1;
    return store;
}

/* Returns the revision that a caller sees. */
uint64_t
SimStore_Revision(const SimStore *store)
{
    return store->current < 0 ? 0 : store->revision;
}

/* Reads the value. */
HrStoreReply
SimStore_Read(const SimStore *store, uint64_t request_id)
{
    HrStoreReply reply = {.request_id = request_id, .result = HR_STORE_ABSENT};

    if (store->current >= 0) {
        const char *text = store->commits[store->current].text;

        reply.result = HR_STORE_OK;
        reply.revision = store->revision;
        reply.value.data = (const uint8_t *)text;
        reply.value.length_bytes = strlen(text);
    }
    return reply;
}

/* Returns the commit that holds an edit, or NULL; count is how many do. */
const SimCommit *
SimStore_FindEdit(const SimStore *store, const char *edit_id, uint32_t *count)
{
    const SimCommit *found = NULL;
    uint32_t i;

    *count = 0;
    for (i = 0; i < store->commit_count; i++) {
        if (strcmp(store->commits[i].edit_id, edit_id) == 0) {
            found = &store->commits[i];
            (*count)++;
        }
    }
    return found;
}

/* Returns the commit with a revision and digest, or NULL. */
const SimCommit *
SimStore_FindTables(const SimStore *store, uint64_t revision, uint64_t digest)
{
    uint32_t i;

    for (i = 0; i < store->commit_count; i++) {
        if (store->commits[i].model.revision == revision &&
            store->commits[i].digest == digest) {
            return &store->commits[i];
        }
    }
    return NULL;
}

/* Returns the newest commit, or NULL. */
const SimCommit *
SimStore_Newest(const SimStore *store)
{
    return store->commit_count == 0 ? NULL
                                    : &store->commits[store->commit_count - 1];
}

/* Makes the store hold an earlier value (-1: none). */
void
SimStore_Rollback(SimStore *store, int commit)
{
    store->current = commit;
    store->revision++;
}
