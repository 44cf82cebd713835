#include "common-config-store.h"

#include <string.h>
#include <talloc.h>

/* Creates an empty store. */
SimStore *
SimStore_Create(const void *parent)
{
    SimStore *store = talloc_zero(parent, SimStore);

    store->current_commit = -1;
    return store;
}

/* Returns the revision of the key as reported to callers; 0 if it is
 * absent. */
uint64_t
SimStore_GetRevision(const SimStore *store)
{
    return store->current_commit < 0 ? 0 : store->revision;
}

/* Returns the reply to a read of the value. */
HrStoreReply
SimStore_ReadValue(const SimStore *store, uint64_t request_id)
{
    HrStoreReply reply = {.request_id = request_id, .result = HR_STORE_ABSENT};

    if (store->current_commit >= 0) {
        const char *text = store->commits[store->current_commit].text;

        reply.result = HR_STORE_OK;
        reply.revision = store->revision;
        reply.value.data = (const uint8_t *)text;
        reply.value.length_bytes = strlen(text);
    }
    return reply;
}

/* Returns the last commit of an edit, or NULL if there is none. Sets count to
 * the number of its commits. */
const SimCommit *
SimStore_FindCommitByEdit(const SimStore *store, const char *edit_id,
                          uint32_t *count)
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

/* Returns the commit with the revision and digest, or NULL if there is
 * none. */
const SimCommit *
SimStore_FindCommitByTables(const SimStore *store, uint64_t revision,
                            uint64_t digest)
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

/* Returns the newest commit, also after a rollback, or NULL if there is
 * none. */
const SimCommit *
SimStore_GetNewestCommit(const SimStore *store)
{
    return store->commit_count == 0 ? NULL
                                    : &store->commits[store->commit_count - 1];
}

/* Replaces the value by that of an earlier commit; -1 removes it. */
void
SimStore_RollBack(SimStore *store, int commit)
{
    store->current_commit = commit;
    store->revision++;
}
