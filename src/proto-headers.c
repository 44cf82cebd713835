#include "proto-headers.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base-error.h"

#define INITIAL_TEXT_BYTES 512
#define INITIAL_SPAN_COUNT 8

/* Names of header lines that apply to one connection only, or to how the body
 * is framed and sent. */
static const char *const hop_by_hop_names[] = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization",
    "proxy-authenticate",
    "expect",
    "content-length",
};

/* Initializes an empty list. */
void
HrHeaders_Init(HrHeaders *headers, const void *parent)
{
    memset(headers, 0, sizeof(*headers));
    headers->parent = parent;
}

/* Removes all lines. If release is true, also frees the memory; otherwise it
 * is retained for the next message. */
void
HrHeaders_Reset(HrHeaders *headers, bool release)
{
    if (release) {
        const void *parent = headers->parent;

        talloc_free(headers->text);
        talloc_free(headers->spans);
        HrHeaders_Init(headers, parent);
        return;
    }
    headers->text_bytes = 0;
    headers->count = 0;
    headers->marked_count = 0;
    headers->in_value = false;
    headers->value_ended = false;
    headers->is_closed = false;
}

/* Appends bytes and a NUL, which the next piece overwrites. The limit of
 * UINT32_MAX / 2 bytes ensures that the doubled capacity fits in 32 bits. */
static int
append_text(HrHeaders *headers, const char *text, size_t length)
{
    size_t needed = headers->text_bytes + length + 1;

    if (needed > UINT32_MAX / 2) {
        return HR_ERR_TOO_LARGE;
    }
    if (needed > headers->text_capacity_bytes) {
        size_t capacity = headers->text_capacity_bytes == 0
                              ? INITIAL_TEXT_BYTES
                              : (size_t)headers->text_capacity_bytes * 2;
        char *grown;

        capacity = capacity < needed ? needed : capacity;
        grown = talloc_realloc_size(headers->parent, headers->text, capacity);
        if (grown == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        headers->text = grown;
        headers->text_capacity_bytes = (uint32_t)capacity;
    }
    memcpy(headers->text + headers->text_bytes, text, length);
    headers->text_bytes += (uint32_t)length;
    headers->text[headers->text_bytes] = '\0';
    return HR_OK;
}

/* Removes the blanks behind the value of the last line: the parser passes them
 * on, but they are no part of the value. */
static void
trim_last_value(HrHeaders *headers)
{
    uint32_t start;

    if (!headers->in_value) {
        return;
    }
    start = headers->spans[headers->count - 1].value_offset;
    while (headers->text_bytes > start &&
           (headers->text[headers->text_bytes - 1] == ' ' ||
            headers->text[headers->text_bytes - 1] == '\t')) {
        headers->text_bytes--;
    }
    headers->text[headers->text_bytes] = '\0';
}

/* Adds a line whose name begins at the end of the text, after the NUL of the
 * previous line. */
static int
add_line(HrHeaders *headers)
{
    if (headers->count == headers->capacity) {
        uint32_t capacity = headers->capacity == 0 ? INITIAL_SPAN_COUNT
                                                   : headers->capacity * 2;
        HrHeaderSpan *grown = talloc_realloc(headers->parent, headers->spans,
                                             HrHeaderSpan, capacity);

        if (grown == NULL) {
            return HR_ERR_NO_MEMORY;
        }
        headers->spans = grown;
        headers->capacity = capacity;
    }
    if (headers->count > 0) {
        headers->text_bytes++;
    }
    headers->spans[headers->count] =
        (HrHeaderSpan){.name_offset = headers->text_bytes,
                       .value_offset = headers->text_bytes & INT32_MAX};
    headers->count++;
    headers->in_value = false;
    headers->value_ended = false;
    return HR_OK;
}

/* Appends a piece of a name. The first piece after a value begins a line. */
int
HrHeaders_AppendName(HrHeaders *headers, const char *text, size_t length)
{
    int rc;

    if (headers->is_closed) {
        return HR_OK;
    }
    if (headers->count == 0 || headers->in_value) {
        trim_last_value(headers);
        rc = add_line(headers);
        if (rc != HR_OK) {
            return rc;
        }
    }
    rc = append_text(headers, text, length);
    if (rc == HR_OK) {
        /* The value is empty until a piece of it is appended. */
        headers->spans[headers->count - 1].value_offset =
            headers->text_bytes & INT32_MAX;
    }
    return rc;
}

/* Appends a piece of the value of the last line. */
int
HrHeaders_AppendValue(HrHeaders *headers, const char *text, size_t length,
                      bool is_line_end)
{
    int rc = HR_OK;

    if (headers->is_closed) {
        return HR_OK;
    }
    if (headers->count == 0) {
        return HR_ERR_PROTOCOL;
    }
    if (!headers->in_value) {
        headers->in_value = true;
        headers->text_bytes++;
        headers->spans[headers->count - 1].value_offset =
            headers->text_bytes & INT32_MAX;
    }
    else if (headers->value_ended && length > 0) {
        rc = append_text(headers, " ", 1);
    }
    headers->value_ended = is_line_end;
    return rc == HR_OK ? append_text(headers, text, length) : rc;
}

/* Ends the last line, and ignores what is appended later. */
void
HrHeaders_EndHead(HrHeaders *headers)
{
    trim_last_value(headers);
    headers->is_closed = true;
}

/* Returns the name of a line. */
const char *
HrHeaders_GetName(const HrHeaders *headers, uint32_t index)
{
    return headers->text + headers->spans[index].name_offset;
}

/* Returns the value of a line. */
const char *
HrHeaders_GetValue(const HrHeaders *headers, uint32_t index)
{
    return headers->text + headers->spans[index].value_offset;
}

/* Returns the value of the first line with the given name, or NULL. */
const char *
HrHeaders_FindValue(const HrHeaders *headers, const char *name)
{
    uint32_t i;

    for (i = 0; i < headers->count; i++) {
        if (strcasecmp(HrHeaders_GetName(headers, i), name) == 0) {
            return HrHeaders_GetValue(headers, i);
        }
    }
    return NULL;
}

/* Returns the value of the first line with the given name, or NULL, and counts
 * the lines with that name. */
const char *
HrHeaders_FindFirst(const HrHeaders *headers, const char *name,
                    uint32_t *count)
{
    const char *first = NULL;
    uint32_t i;

    *count = 0;
    for (i = 0; i < headers->count; i++) {
        if (strcasecmp(HrHeaders_GetName(headers, i), name) == 0) {
            first = first != NULL ? first : HrHeaders_GetValue(headers, i);
            ++*count;
        }
    }
    return first;
}

/* Returns true if an answer with this status ends with its head. */
bool
HrHttp_IsStatusWithoutBody(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

/* Returns true if the body is sent as it is or in chunks. */
bool
HrHeaders_IsFramingKnown(const HrHeaders *headers)
{
    uint32_t count;
    const char *coding =
        HrHeaders_FindFirst(headers, "transfer-encoding", &count);

    return count == 0 || (count == 1 && strcasecmp(coding, "chunked") == 0);
}

/* Returns true if a comma-separated list includes a token, ignoring case. */
static bool
has_token(const char *list, const char *token)
{
    size_t length = strlen(token);

    while (*list != '\0') {
        size_t span;

        list += strspn(list, ", \t");
        span = strcspn(list, ", \t");
        if (span == length && strncasecmp(list, token, length) == 0) {
            return true;
        }
        list += span;
    }
    return false;
}

/* Returns true if a name is in hop_by_hop_names. */
static bool
is_hop_by_hop_name(const char *name)
{
    uint32_t i;

    for (i = 0; i < sizeof(hop_by_hop_names) / sizeof(hop_by_hop_names[0]);
         i++) {
        if (strcasecmp(name, hop_by_hop_names[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* A token of a Connection header. */
typedef struct Token {
    const char *text; /* not NUL-terminated */
    size_t length;
} Token;

/* The tokens of all Connection headers of a message. */
typedef struct TokenList {
    Token *tokens;
    size_t count;
    size_t capacity;
} TokenList;

/* Orders tokens, ignoring case. */
static int
compare_tokens(const void *a, const void *b)
{
    const Token *first = a, *second = b;

    if (first->length != second->length) {
        return first->length < second->length ? -1 : 1;
    }
    return strncasecmp(first->text, second->text, first->length);
}

/* Adds the tokens of one Connection header. Returns 0 or HR_ERR_NO_MEMORY. */
static int
add_tokens(TokenList *list, const char *value)
{
    for (;;) {
        size_t length;

        value += strspn(value, ", \t");
        length = strcspn(value, ", \t");
        if (length == 0) {
            return HR_OK;
        }
        if (list->count == list->capacity) {
            size_t capacity = list->capacity == 0 ? 8 : list->capacity * 2;
            Token *grown = talloc_realloc(NULL, list->tokens, Token,
                                          (unsigned int)capacity);

            if (grown == NULL) {
                return HR_ERR_NO_MEMORY;
            }
            list->tokens = grown;
            list->capacity = capacity;
        }
        list->tokens[list->count++] = (Token){value, length};
        value += length;
    }
}

/* Finds the lines that must not be forwarded. */
int
HrHeaders_MarkHopByHop(HrHeaders *headers)
{
    TokenList list = {0};
    int rc = HR_OK;
    uint32_t i;

    for (i = 0; i < headers->count && rc == HR_OK; i++) {
        if (strcasecmp(HrHeaders_GetName(headers, i), "connection") == 0) {
            rc = add_tokens(&list, HrHeaders_GetValue(headers, i));
        }
    }
    if (list.count > 0) {
        qsort(list.tokens, list.count, sizeof(Token), compare_tokens);
    }
    for (i = 0; i < headers->count && rc == HR_OK; i++) {
        const char *name = HrHeaders_GetName(headers, i);
        const Token token = {name, strlen(name)};

        headers->spans[i].is_hop_by_hop =
            is_hop_by_hop_name(name) ||
            (list.count > 0 && bsearch(&token, list.tokens, list.count,
                                       sizeof(Token), compare_tokens) != NULL);
    }
    headers->marked_count = rc == HR_OK ? headers->count : 0;
    talloc_free(list.tokens);
    return rc;
}

/* Returns true if a line must not be forwarded: its name is in
 * hop_by_hop_names or in a Connection header. */
bool
HrHeaders_IsHopByHop(const HrHeaders *headers, uint32_t index)
{
    const char *name = HrHeaders_GetName(headers, index);
    uint32_t i;

    if (index < headers->marked_count) {
        return headers->spans[index].is_hop_by_hop;
    }
    if (is_hop_by_hop_name(name)) {
        return true;
    }
    for (i = 0; i < headers->count; i++) {
        if (strcasecmp(HrHeaders_GetName(headers, i), "connection") == 0 &&
            has_token(HrHeaders_GetValue(headers, i), name)) {
            return true;
        }
    }
    return false;
}
