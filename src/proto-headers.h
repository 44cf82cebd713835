#ifndef HR_PROTO_HEADERS_H
#define HR_PROTO_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Offsets of one header line in HrHeaders.text. */
typedef struct HrHeaderSpan {
    uint32_t name_offset;       /* NUL-terminated */
    uint32_t value_offset : 31; /* NUL-terminated */
    uint32_t is_hop_by_hop : 1; /* set by HrHeaders_MarkHopByHop */
} HrHeaderSpan;

/* The header lines of one HTTP message, in the order received. text and spans
 * are talloc children of parent; HrHeaders_Reset() lets the next message reuse
 * them. */
typedef struct HrHeaders {
    const void *parent;
    char *text;
    uint32_t text_bytes;
    uint32_t text_capacity_bytes;
    HrHeaderSpan *spans;
    uint32_t count;
    uint32_t capacity;     /* of spans */
    uint32_t marked_count; /* lines for which is_hop_by_hop is known */
    bool in_value;         /* the last appended piece belonged to a value */
    bool value_ended;      /* the last piece of a value ended its line */
    bool is_closed;        /* the head is complete */
} HrHeaders;

/* Initializes an empty list. Its memory is allocated as talloc children of
 * parent. */
void HrHeaders_Init(HrHeaders *headers, const void *parent);

/* Removes all lines. If release is true, also frees the memory; otherwise it
 * is retained for the next message. */
void HrHeaders_Reset(HrHeaders *headers, bool release);

/* Appends a piece of a header name, as the HTTP parser passes it. The first
 * piece after a value begins a new line. Returns 0, HR_ERR_NO_MEMORY, or
 * HR_ERR_TOO_LARGE if all lines together would exceed UINT32_MAX / 2 bytes. */
int HrHeaders_AppendName(HrHeaders *headers, const char *text, size_t length);

/* Appends a piece of the value of the last line. is_line_end: a line end
 * follows the piece. If the value continues on the next line (folding), a
 * space stands between the two. Returns HR_ERR_PROTOCOL if there is no line
 * yet, otherwise the same as HrHeaders_AppendName(). */
int HrHeaders_AppendValue(HrHeaders *headers, const char *text, size_t length,
                          bool is_line_end);

/* Ends the last line; called when the head is complete. Lines behind the body
 * (trailers) are ignored: what states the route, the id or the digest of a
 * message stands in its head. */
void HrHeaders_EndHead(HrHeaders *headers);

/* Returns the name of a line. The string is valid until the list changes. */
const char *HrHeaders_GetName(const HrHeaders *headers, uint32_t index);

/* Returns the value of a line. The string is valid until the list changes. */
const char *HrHeaders_GetValue(const HrHeaders *headers, uint32_t index);

/* Returns the value of the first line with the given name, ignoring case, or
 * NULL. */
const char *HrHeaders_FindValue(const HrHeaders *headers, const char *name);

/* Does the same, and sets *count to the number of lines with that name. */
const char *HrHeaders_FindFirst(const HrHeaders *headers, const char *name,
                                uint32_t *count);

/* Returns true if an answer with this status has no body, whatever length its
 * header lines state. */
bool HrHttp_IsStatusWithoutBody(int status);

/* Returns true if the body is sent as it is or in chunks, without a coding
 * that would have to be decoded before it can be forwarded. */
bool HrHeaders_IsFramingKnown(const HrHeaders *headers);

/* Finds the lines that must not be forwarded, in a time that is nearly linear
 * in the length of the message. Called when all lines are complete. Returns 0
 * or HR_ERR_NO_MEMORY. */
int HrHeaders_MarkHopByHop(HrHeaders *headers);

/* Returns true if a line must not be forwarded: it applies to one connection
 * only, or to the framing of the body. Without HrHeaders_MarkHopByHop, the
 * time is linear in the length of the message. */
bool HrHeaders_IsHopByHop(const HrHeaders *headers, uint32_t index);

#endif
