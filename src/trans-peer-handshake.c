#include "trans-peer-handshake.h"

#include <sodium.h>
#include <string.h>

/* Size of a role byte, two nonces, two daemon ids and a cluster name of up to
 * 256 bytes. */
#define TRANSCRIPT_MAX_BYTES                                                  \
    (2 * (HR_PEER_NONCE_BYTES + sizeof(uint64_t)) + 1 + 256)

/* Appends bytes to the transcript at an offset; returns the offset after them.
 */
static size_t
append_bytes(uint8_t *transcript, size_t offset, const void *data,
             size_t length)
{
    memcpy(transcript + offset, data, length);
    return offset + length;
}

/* Computes the proof of one side: a MAC over the transcript. The transcript
 * has the role (the side that opened the link or the side that accepted it),
 * the nonces and the daemon ids, each with that of the opening side first, and
 * the cluster. Because of the role byte, neither side can send back the proof
 * of the other as its own. */
static void
compute_proof(const HrPeerLink *link, bool by_initiator,
              uint8_t mac[HR_PEER_MAC_BYTES])
{
    const HrPeerNodeConfig *config = link->owner->config;
    bool own_first = link->outbound;
    uint64_t own_id = htobe64(config->daemon_id);
    uint64_t peer_id = htobe64(link->peer_id);
    uint8_t role = by_initiator ? 'I' : 'A';
    uint8_t transcript[TRANSCRIPT_MAX_BYTES];
    size_t offset = 0;

    offset = append_bytes(transcript, offset, &role, 1);
    offset = append_bytes(transcript, offset,
                          own_first ? link->own_nonce : link->peer_nonce,
                          HR_PEER_NONCE_BYTES);
    offset = append_bytes(transcript, offset,
                          own_first ? link->peer_nonce : link->own_nonce,
                          HR_PEER_NONCE_BYTES);
    offset = append_bytes(transcript, offset, own_first ? &own_id : &peer_id,
                          sizeof(own_id));
    offset = append_bytes(transcript, offset, own_first ? &peer_id : &own_id,
                          sizeof(peer_id));
    offset = append_bytes(transcript, offset, config->cluster,
                          strnlen(config->cluster, HR_NAME_BYTES));
    crypto_auth(mac, transcript, offset, config->key);
}

/* Queues the hello of this daemon. */
int
HrPeerHandshake_SendHello(HrPeerLink *link)
{
    const HrPeerNodeConfig *config = link->owner->config;
    HrPeerFrame frame = {.kind = HR_PEER_HELLO};

    frame.u.hello.protocol = HR_PEER_PROTOCOL_VERSION;
    frame.u.hello.cluster = config->cluster;
    frame.u.hello.daemon_id = config->daemon_id;
    frame.u.hello.nonce.data = link->own_nonce;
    frame.u.hello.nonce.length_bytes = HR_PEER_NONCE_BYTES;
    return HrPeerLink_QueueControlFrame(link, &frame);
}

/* Queues the proof of this daemon. */
static int
send_proof(HrPeerLink *link)
{
    HrPeerFrame frame = {.kind = HR_PEER_PROOF};
    uint8_t mac[HR_PEER_MAC_BYTES];

    compute_proof(link, link->outbound, mac);
    frame.u.mac.data = mac;
    frame.u.mac.length_bytes = sizeof(mac);
    return HrPeerLink_QueueControlFrame(link, &frame);
}

/* Handles the hello of the other side: checks the cluster and the protocol
 * version, both counted as peer_wrong_cluster. The side that accepted the link
 * replies with its own hello and proof. */
static int
handle_hello(HrPeerLink *link, const HrPeerHello *hello)
{
    const HrPeerNodeConfig *config = link->owner->config;
    int rc = HR_OK;

    if (strcmp(hello->cluster, config->cluster) != 0 ||
        hello->protocol != HR_PEER_PROTOCOL_VERSION) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_wrong_cluster, 1);
        return HR_ERR_PROTOCOL;
    }
    link->peer_id = hello->daemon_id;
    memcpy(link->peer_nonce, hello->nonce.data, HR_PEER_NONCE_BYTES);
    link->state = HR_PEER_LINK_PROOF;
    if (!link->outbound) {
        rc = HrPeerHandshake_SendHello(link);
        if (rc == HR_OK) {
            rc = send_proof(link);
        }
    }
    return rc;
}

/* Checks the proof of the other side, and makes the link ready. The side that
 * opened the link replies with its own proof. */
static int
handle_proof(HrPeerLink *link, HrBytes mac)
{
    const HrPeerNodeConfig *config = link->owner->config;
    uint8_t expected[HR_PEER_MAC_BYTES];

    compute_proof(link, !link->outbound, expected);
    if (sodium_memcmp(mac.data, expected, sizeof(expected)) != 0) {
        HrCounters_Add(config->counters, HR_COUNTER_peer_failed_proof, 1);
        return HR_ERR_AUTH;
    }
    link->state = HR_PEER_LINK_READY;
    HrCounters_Add(config->counters, HR_COUNTER_peer_links_opened, 1);
    return link->outbound ? send_proof(link) : HR_OK;
}

/* Handles a frame that is received before the link is ready. */
int
HrPeerHandshake_HandleFrame(HrPeerLink *link, const HrPeerFrame *frame)
{
    if (link->state == HR_PEER_LINK_HELLO && frame->kind == HR_PEER_HELLO) {
        return handle_hello(link, &frame->u.hello);
    }
    if (link->state == HR_PEER_LINK_PROOF && frame->kind == HR_PEER_PROOF) {
        return handle_proof(link, frame->u.mac);
    }
    HrCounters_Add(link->owner->config->counters, HR_COUNTER_peer_bad_frames,
                   1);
    return HR_ERR_PROTOCOL;
}
