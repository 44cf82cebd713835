#include "ctl-targets.h"

#include <string.h>
#include <talloc.h>

#include "ctl-client.h"

/* Adds the members of one answer to a map by daemon id. A daemon may know no
 * operator address but its own, so a later answer may add one. */
static void
merge_members(json_t *map, json_t *members)
{
    size_t i;

    for (i = 0; i < json_array_size(members); i++) {
        json_t *member = json_array_get(members, i);
        const char *id =
            json_string_value(json_object_get(member, "daemon_id"));
        const char *address =
            json_string_value(json_object_get(member, "operator_address"));

        if (id == NULL) {
            continue;
        }
        if (json_object_get(map, id) == NULL ||
            (address != NULL && address[0] != '\0')) {
            json_object_set(map, id, member);
        }
    }
}

/* Sorts the members that are not dead into those with and those without an
 * operator address. */
static void
list_members(CtlTargets *targets, json_t *map)
{
    const char *id;
    json_t *member;

    targets->addresses =
        talloc_array(targets, const char *, json_object_size(map));
    targets->unknown =
        talloc_array(targets, const char *, json_object_size(map));
    json_object_foreach(map, id, member)
    {
        const char *state =
            json_string_value(json_object_get(member, "state"));
        const char *address =
            json_string_value(json_object_get(member, "operator_address"));
        const char *peer =
            json_string_value(json_object_get(member, "peer_address"));

        if (state == NULL || strcmp(state, "dead") == 0) {
            continue;
        }
        if (address != NULL && address[0] != '\0') {
            targets->addresses[targets->count++] =
                talloc_strdup(targets, address);
        }
        else {
            targets->unknown[targets->unknown_count++] =
                talloc_asprintf(targets, "%s at peer address %s", id,
                                peer == NULL ? "unknown" : peer);
        }
    }
}

/* Asks the named daemons for the members. Returns false when none answers. */
static bool
find_members(CtlTargets *targets, const CtlOptions *options)
{
    CtlReply *replies =
        CtlClient_Ask(targets, options, "GET", "/v1/members", NULL,
                      options->daemons, options->daemon_count);
    json_t *map = json_object();
    bool found = false;
    uint32_t i;

    for (i = 0; i < options->daemon_count; i++) {
        if (replies[i].error.kind == HR_OK) {
            merge_members(map, json_object_get(replies[i].json, "members"));
            found = true;
        }
        else {
            Ctl_Error("%s", replies[i].error.message);
        }
    }
    list_members(targets, map);
    json_decref(map);
    talloc_free(replies);
    return found;
}

/* Lists the named daemons, or with all every member that is not dead, as the
 * named daemons know them. Returns NULL when an error was printed. */
CtlTargets *
CtlTargets_Find(const void *parent, const CtlOptions *options, bool all)
{
    CtlTargets *targets = talloc_zero(parent, CtlTargets);

    if (options->daemon_count == 0) {
        CtlClient_ReportNoDaemon();
        talloc_free(targets);
        return NULL;
    }
    if (!all) {
        targets->addresses = options->daemons;
        targets->count = options->daemon_count;
        return targets;
    }
    if (!find_members(targets, options)) {
        talloc_free(targets);
        return NULL;
    }
    if (targets->count == 0) {
        Ctl_Error("no member with an operator address is known; name the "
                  "daemons with --daemon, without --all");
        talloc_free(targets);
        return NULL;
    }
    return targets;
}

/* Prints an error for each member that cannot be asked. Returns the exit
 * status that follows from it, given that of the others. */
int
CtlTargets_ReportUnknown(const CtlTargets *targets, int status)
{
    uint32_t i;

    for (i = 0; i < targets->unknown_count; i++) {
        Ctl_Error("daemon %s: its operator listener is not known; name it "
                  "with --daemon",
                  targets->unknown[i]);
    }
    return targets->unknown_count > 0 && status == CTL_EXIT_DONE
               ? CTL_EXIT_UNREACHABLE
               : status;
}
