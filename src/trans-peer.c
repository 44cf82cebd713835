#include "trans-peer.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "state-address.h"
#include "trans-peer-link.h"

/* Number of connections that may wait to be accepted. */
#define ACCEPT_BACKLOG 1024
/* Defaults of HrPeerNodeConfig. */
#define QUEUE_BYTES (16u * 1024 * 1024)
#define MAX_LINKS 4096
#define HANDSHAKE_MS 2000
#define PING_MS 1000
#define SILENCE_MS 3000
#define IDLE_MS 60000

TAILQ_HEAD(ClosedList, HrPeerLink);

struct HrPeerNode {
    HrLoop *loop;
    HrPeerNodeConfig config;
    HrPeerLinkOwner owner;
    int listen_fd;
    HrLoopFd *listen_watch;
    HrLoopTimer *free_timer;
    HrPeerLink *links;        /* hash by number */
    HrPeerLink *by_address;   /* hash of the current outbound links */
    HrPeerPath *paths;        /* hash by address */
    struct ClosedList closed; /* closed links, freed in the next round of the
                               * loop */
    uint32_t inbound_count;
    uint32_t outbound_count;
    uint64_t last_link_number;
};

/* Sets the limits and times to their defaults. */
void
HrPeerNodeConfig_GetDefaults(HrPeerNodeConfig *config)
{
    memset(config, 0, sizeof(*config));
    config->queue_bytes = QUEUE_BYTES;
    config->max_links = MAX_LINKS;
    config->handshake_ms = HANDSHAKE_MS;
    config->ping_ms = PING_MS;
    config->silence_ms = SILENCE_MS;
    config->idle_ms = IDLE_MS;
}

/* Passes a received frame to the layer above. */
static void
forward_frame(void *arg, HrPeerLink *link, HrPeerFrame *frame)
{
    HrPeerNode *node = arg;
    HrPeerEvent event = {.kind = HR_PEER_EVENT_FRAME,
                         .link = link->number,
                         .daemon_id = link->peer_id,
                         .frame = frame};

    node->config.fn(node->config.arg, &event);
}

/* Removes a link from the current links, so that new frames to its address use
 * another one. */
static void
unset_current_link(HrPeerNode *node, HrPeerLink *link)
{
    if (link->current) {
        HASH_DELETE(by_address, node->by_address, link);
        link->current = false;
    }
}

/* Removes the paths to addresses without an open link. */
static void
remove_unused_paths(HrPeerNode *node)
{
    HrPeerPath *path, *next;

    for (path = node->paths; path != NULL; path = next) {
        next = path->hh.next;
        if (path->link_count == 0) {
            HASH_DELETE(hh, node->paths, path);
            talloc_free(path);
        }
    }
}

/* Returns the path of an address, and adds it if needed; NULL if memory runs
 * out. VMs that are replaced get new addresses, so unused paths are removed
 * when there are 2 * max_links. */
static HrPeerPath *
get_or_add_path(HrPeerNode *node, const char *address)
{
    HrPeerPath *path = NULL;

    HASH_FIND_STR(node->paths, address, path);
    if (path != NULL) {
        return path;
    }
    if (HASH_COUNT(node->paths) >= 2 * node->config.max_links) {
        remove_unused_paths(node);
    }
    path = talloc_zero(node, HrPeerPath);
    if (path != NULL) {
        snprintf(path->address, sizeof(path->address), "%s", address);
        HASH_ADD_STR(node->paths, address, path);
    }
    return path;
}

/* Removes a closed link from the tables, reports it, and has it freed in the
 * next round of the loop. */
static void
handle_link_closed(void *arg, HrPeerLink *link, int error)
{
    HrPeerNode *node = arg;
    HrPeerEvent event = {.kind = HR_PEER_EVENT_CLOSED,
                         .link = link->number,
                         .daemon_id = link->peer_id,
                         .error = error};

    unset_current_link(node, link);
    HASH_DELETE(by_number, node->links, link);
    if (link->path != NULL) {
        link->path->link_count--;
        link->path = NULL;
    }
    if (link->outbound) {
        node->outbound_count--;
    }
    else {
        node->inbound_count--;
    }
    TAILQ_INSERT_TAIL(&node->closed, link, closed_entry);
    HrLoop_SetTimer(node->loop, node->free_timer, HrLoop_NowNs(node->loop));
    node->config.fn(node->config.arg, &event);
}

/* Frees the closed links. */
static void
free_closed_links(void *arg)
{
    HrPeerNode *node = arg;
    HrPeerLink *link;

    while ((link = TAILQ_FIRST(&node->closed)) != NULL) {
        TAILQ_REMOVE(&node->closed, link, closed_entry);
        HrPeerLink_Free(link);
    }
}

/* Creates a link on a socket, assigns the next number to it and adds it to the
 * table. Returns NULL if memory runs out; the socket is then closed. */
static HrPeerLink *
add_link(HrPeerNode *node, int fd, bool outbound)
{
    const int one = 1;
    HrPeerLink *link;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    link = HrPeerLink_Create(node, &node->owner, fd, outbound);
    if (link == NULL) {
        return NULL;
    }
    link->number = ++node->last_link_number;
    HASH_ADD(by_number, node->links, number, sizeof(link->number), link);
    if (outbound) {
        node->outbound_count++;
    }
    else {
        node->inbound_count++;
    }
    return link;
}

/* Accepts the pending connections; closes those beyond max_links. */
static void
accept_links(void *arg, int fd, uint32_t events)
{
    HrPeerNode *node = arg;
    int accepted;

    (void)events;
    while ((accepted =
                accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        if (node->inbound_count >= node->config.max_links) {
            HrCounters_Add(node->config.counters,
                           HR_COUNTER_peer_links_refused, 1);
            close(accepted);
            continue;
        }
        add_link(node, accepted, false);
    }
}

/* Opens the listening socket; returns -1 on failure. */
static int
open_listener(const HrSockAddress *address)
{
    const int one = 1;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (const struct sockaddr *)&address->storage,
             address->length_bytes) != 0 ||
        listen(fd, ACCEPT_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Closes all links and the listening socket of a node that is being freed. */
static int
destroy_node(HrPeerNode *node)
{
    HrPeerLink *link, *next;

    for (link = node->links; link != NULL; link = next) {
        next = link->by_number.next;
        unset_current_link(node, link);
        HASH_DELETE(by_number, node->links, link);
        HrLoop_RemoveFd(node->loop, link->watch);
        HrLoop_RemoveTimer(node->loop, link->timer);
        HrLoop_RemoveTimer(node->loop, link->flush_timer);
        close(link->fd);
    }
    HrLoop_RemoveFd(node->loop, node->listen_watch);
    HrLoop_RemoveTimer(node->loop, node->free_timer);
    HASH_CLEAR(hh, node->paths);
    close(node->listen_fd);
    return 0;
}

/* Creates a node and starts listening. */
HrPeerNode *
HrPeerNode_Create(const void *parent, HrLoop *loop,
                  const HrPeerNodeConfig *config, HrError *err)
{
    HrPeerNode *node;
    HrSockAddress address;
    int fd = -1;

    if (sodium_init() >= 0 &&
        HrSockAddress_Parse(config->listen, &address) == HR_OK) {
        fd = open_listener(&address);
    }
    if (fd < 0) {
        HrError_Set(err, HR_ERR_IO,
                    "%s: cannot listen: use a free port of a local address",
                    config->listen);
        return NULL;
    }
    node = talloc_zero(parent, HrPeerNode);
    if (node == NULL) {
        close(fd);
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        return NULL;
    }
    node->loop = loop;
    node->config = *config;
    node->owner.loop = loop;
    node->owner.config = &node->config;
    node->owner.on_frame = forward_frame;
    node->owner.on_closed = handle_link_closed;
    node->owner.arg = node;
    node->listen_fd = fd;
    TAILQ_INIT(&node->closed);
    node->listen_watch =
        HrLoop_AddFd(loop, fd, HR_LOOP_READ, accept_links, node);
    node->free_timer = HrLoop_AddTimer(loop, free_closed_links, node);
    talloc_set_destructor(node, destroy_node);
    if (node->listen_watch == NULL || node->free_timer == NULL) {
        HrError_Set(err, HR_ERR_NO_MEMORY, "out of memory");
        talloc_free(node);
        return NULL;
    }
    return node;
}

/* Returns the port that the node listens on, or 0 on failure. */
uint16_t
HrPeerNode_GetPort(const HrPeerNode *node)
{
    HrSockAddress address;

    address.length_bytes = sizeof(address.storage);
    if (getsockname(node->listen_fd, (struct sockaddr *)&address.storage,
                    &address.length_bytes) != 0) {
        return 0;
    }
    if (address.storage.ss_family == AF_INET6) {
        return ntohs(((struct sockaddr_in6 *)&address.storage)->sin6_port);
    }
    return ntohs(((struct sockaddr_in *)&address.storage)->sin_port);
}

/* Starts to connect to an address; returns the socket, or -1 on failure. */
static int
start_connect(const char *text)
{
    HrSockAddress address;
    int fd;

    if (HrSockAddress_Parse(text, &address) != HR_OK) {
        return -1;
    }
    fd = socket(address.storage.ss_family,
                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (const struct sockaddr *)&address.storage,
                address.length_bytes) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Opens a link to an address and makes it the current one. Returns NULL on
 * failure, with *error set. */
static HrPeerLink *
open_link(HrPeerNode *node, const char *address, int *error)
{
    HrPeerLink *link, *previous = NULL;
    int fd;

    *error = HR_ERR_FULL;
    if (node->outbound_count >= node->config.max_links) {
        return NULL;
    }
    *error = HR_ERR_UNAVAILABLE;
    fd = start_connect(address);
    if (fd < 0) {
        return NULL;
    }
    *error = HR_ERR_NO_MEMORY;
    link = add_link(node, fd, true);
    if (link == NULL) {
        return NULL;
    }
    HASH_FIND(by_address, node->by_address, address, strlen(address),
              previous);
    if (previous != NULL) {
        unset_current_link(node, previous);
    }
    snprintf(link->address, sizeof(link->address), "%s", address);
    link->path = get_or_add_path(node, address);
    if (link->path != NULL) {
        link->path->link_count++;
    }
    HASH_ADD(by_address, node->by_address, address, strlen(link->address),
             link);
    link->current = true;
    return link;
}

/* Encodes a frame and queues it on a link. */
static int
queue_frame(HrPeerNode *node, HrPeerLink *link, const HrPeerFrame *frame,
            uint64_t tag)
{
    HrBytes bytes;
    int rc = HrPeerFrame_Encode(link, frame, HrLoop_NowNs(node->loop), &bytes);

    if (rc != HR_OK) {
        return rc;
    }
    rc = HrPeerLink_QueueFrame(link, bytes, tag);
    if (rc != HR_OK) {
        talloc_free((void *)bytes.data);
    }
    return rc;
}

/* Queues a frame for the daemon at an address. */
int
HrPeerNode_SendFrame(HrPeerNode *node, const char *address, bool new_link,
                     const HrPeerFrame *frame, uint64_t tag, uint64_t *number)
{
    HrPeerLink *link = NULL;
    HrSockAddress parsed;
    int error = HR_OK;

    if (strlen(address) >= HR_ADDRESS_BYTES ||
        HrSockAddress_Parse(address, &parsed) != HR_OK) {
        return HR_ERR_INVALID;
    }
    if (!new_link) {
        HASH_FIND(by_address, node->by_address, address, strlen(address),
                  link);
    }
    if (link == NULL || link->stalled || link->state == HR_PEER_LINK_CLOSED) {
        link = open_link(node, address, &error);
    }
    if (link == NULL) {
        return error;
    }
    *number = link->number;
    return queue_frame(node, link, frame, tag);
}

/* Queues a frame on the link with a number. */
int
HrPeerNode_SendReply(HrPeerNode *node, uint64_t number,
                     const HrPeerFrame *frame, uint64_t tag)
{
    HrPeerLink *link = NULL;

    HASH_FIND(by_number, node->links, &number, sizeof(number), link);
    if (link == NULL || link->state == HR_PEER_LINK_CLOSED) {
        return HR_ERR_NOT_FOUND;
    }
    return queue_frame(node, link, frame, tag);
}

/* Returns the number of bytes in the send queues of all links. */
uint64_t
HrPeerNode_GetQueuedBytes(const HrPeerNode *node)
{
    const HrPeerLink *link;
    uint64_t bytes = 0;

    for (link = node->links; link != NULL; link = link->by_number.next) {
        bytes += link->queued_bytes;
    }
    return bytes;
}

/* Returns the number of open links, ready or not. */
uint32_t
HrPeerNode_GetLinkCount(const HrPeerNode *node)
{
    return HASH_CNT(by_number, node->links);
}
