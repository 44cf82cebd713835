#include "ctl-targets.h"

#include <string.h>
#include <talloc.h>

#include "ctl-client.h"

/* Adds the members in one daemon's answer to a map from daemon id to member. A
 * daemon may have no operator address but its own, so a later answer that has
 * one replaces the member. */
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

/* Adds the members that are not dead to targets, to addresses if they have an
 * operator address, otherwise to unknown. */
static void
add_members(CtlTargets *targets, json_t *map)
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

/* Fetches the members from the named daemons, prints an error for each that
 * fails, and fills targets. Returns false if none answers. */
static bool
fetch_members(CtlTargets *targets, const CtlOptions *options)
{
    CtlReply *replies =
        CtlClient_SendRequests(targets, options, "GET", "/v1/members", NULL,
                               options->daemons, options->daemon_count);
    json_t *map = json_object();
    bool has_answer = false;
    uint32_t i;

    for (i = 0; i < options->daemon_count; i++) {
        if (replies[i].error.kind == HR_OK) {
            merge_members(map, json_object_get(replies[i].json, "members"));
            has_answer = true;
        }
        else {
            Ctl_PrintError("%s", replies[i].error.message);
        }
    }
    add_members(targets, map);
    json_decref(map);
    talloc_free(replies);
    return has_answer;
}

/* Returns the named daemons or, if all is true, every member that is not dead
 * according to the named daemons. Returns NULL after printing an error. The
 * result belongs to parent. */
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
    if (!fetch_members(targets, options)) {
        talloc_free(targets);
        return NULL;
    }
    if (targets->count == 0) {
        Ctl_PrintError("no member with an operator address is known; name the "
                       "daemons with --daemon, without --all");
        talloc_free(targets);
        return NULL;
    }
    return targets;
}

/* Prints an error for each member whose operator address is unknown. Returns
 * status, the exit status of the command, but CTL_EXIT_UNREACHABLE instead of
 * success if there is such a member. */
int
CtlTargets_ReportUnknown(const CtlTargets *targets, int status)
{
    uint32_t i;

    for (i = 0; i < targets->unknown_count; i++) {
        Ctl_PrintError(
            "daemon %s: its operator listener is not known; name it "
            "with --daemon",
            targets->unknown[i]);
    }
    return targets->unknown_count > 0 && status == CTL_EXIT_SUCCESS
               ? CTL_EXIT_UNREACHABLE
               : status;
}
