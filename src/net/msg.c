#include "lav/msg.h"

#include <cbor.h>
#include <stdlib.h>
#include <string.h>

#define MSG_ITEM_HEAD_SIZE_MAX 9 /* bytes of the head of a CBOR item */

enum msg_field_kind {
    MSG_U64,
    MSG_INT,
    MSG_I64,
    MSG_U16,
    MSG_U32,
    MSG_BOOL,
    MSG_TEXT,
    MSG_BODY
};

typedef struct msg_field {
    enum msg_field_kind kind;
    size_t offset;
    size_t size; /* of the member; MSG_TEXT: of the array */
} msg_field;

typedef struct msg_layout {
    const msg_field *fields;
    size_t count;
} msg_layout;

#define MSG_FIELD(kind, type, member)                                         \
    {                                                                         \
        kind, offsetof(type, member), sizeof(((type *)0)->member)             \
    }
#define MSG_LAYOUT(fields)                                                    \
    {                                                                         \
        fields, sizeof(fields) / sizeof((fields)[0])                          \
    }

static const msg_field msg_call_fields[] = {
    MSG_FIELD(MSG_U64, msg_call, nonce),
    MSG_FIELD(MSG_TEXT, msg_call, request),
    MSG_FIELD(MSG_TEXT, msg_call, root),
    MSG_FIELD(MSG_TEXT, msg_call, service),
    MSG_FIELD(MSG_TEXT, msg_call, operation),
    MSG_FIELD(MSG_TEXT, msg_call, method),
    MSG_FIELD(MSG_TEXT, msg_call, path),
    MSG_FIELD(MSG_TEXT, msg_call, content_type),
    MSG_FIELD(MSG_INT, msg_call, klass),
    MSG_FIELD(MSG_INT, msg_call, depth),
    MSG_FIELD(MSG_INT, msg_call, budget),
    MSG_FIELD(MSG_BOOL, msg_call, first),
    MSG_FIELD(MSG_I64, msg_call, time_left_us),
    MSG_FIELD(MSG_I64, msg_call, sent_wall_ms),
    MSG_FIELD(MSG_U64, msg_call, checksum),
    MSG_FIELD(MSG_BODY, msg_call, body),
};

static const msg_field msg_reply_fields[] = {
    MSG_FIELD(MSG_U64, msg_reply, nonce),
    MSG_FIELD(MSG_INT, msg_reply, outcome),
    MSG_FIELD(MSG_INT, msg_reply, reason),
    MSG_FIELD(MSG_BOOL, msg_reply, settled),
    MSG_FIELD(MSG_INT, msg_reply, status),
    MSG_FIELD(MSG_INT, msg_reply, budget),
    MSG_FIELD(MSG_INT, msg_reply, level),
    MSG_FIELD(MSG_INT, msg_reply, load_permille),
    MSG_FIELD(MSG_I64, msg_reply, service_time_us),
    MSG_FIELD(MSG_U64, msg_reply, owner),
    MSG_FIELD(MSG_U64, msg_reply, config),
    MSG_FIELD(MSG_U64, msg_reply, checksum),
    MSG_FIELD(MSG_TEXT, msg_reply, content_type),
    MSG_FIELD(MSG_BODY, msg_reply, body),
};

static const msg_field msg_cancel_fields[] = {
    MSG_FIELD(MSG_U64, msg_cancel, nonce),
};

static const msg_field msg_cancelled_fields[] = {
    MSG_FIELD(MSG_U64, msg_cancelled, nonce),
    MSG_FIELD(MSG_INT, msg_cancelled, result),
};

static const msg_field msg_fetch_fields[] = {
    MSG_FIELD(MSG_TEXT, msg_fetch, key),
};

static const msg_field msg_object_fields[] = {
    MSG_FIELD(MSG_TEXT, msg_object, key),
    MSG_FIELD(MSG_U64, msg_object, version),
    MSG_FIELD(MSG_BODY, msg_object, body),
};

static const msg_field msg_member_fields[] = {
    MSG_FIELD(MSG_TEXT, swim_member, name),
    MSG_FIELD(MSG_TEXT, swim_member, service),
    MSG_FIELD(MSG_TEXT, swim_member, zone),
    MSG_FIELD(MSG_TEXT, swim_member, address),
    MSG_FIELD(MSG_U16, swim_member, peer_port),
    MSG_FIELD(MSG_U16, swim_member, control_port),
    MSG_FIELD(MSG_U16, swim_member, callers_port),
    MSG_FIELD(MSG_U64, swim_member, incarnation),
    MSG_FIELD(MSG_U32, swim_member, sequence),
    MSG_FIELD(MSG_INT, swim_member, state),
};

static const msg_layout msg_member_layout = MSG_LAYOUT(msg_member_fields);

/* Fields of a kind of message; MSG_GOSSIP, which has a list of members, is
 * encoded and decoded separately. */
static msg_layout
msg_get_layout(enum msg_kind kind)
{
    switch (kind) {
    case MSG_CALL:
        return (msg_layout)MSG_LAYOUT(msg_call_fields);
    case MSG_REPLY:
        return (msg_layout)MSG_LAYOUT(msg_reply_fields);
    case MSG_CANCEL:
        return (msg_layout)MSG_LAYOUT(msg_cancel_fields);
    case MSG_CANCELLED:
        return (msg_layout)MSG_LAYOUT(msg_cancelled_fields);
    case MSG_FETCH:
        return (msg_layout)MSG_LAYOUT(msg_fetch_fields);
    case MSG_OBJECT:
        return (msg_layout)MSG_LAYOUT(msg_object_fields);
    case MSG_GOSSIP:
        break;
    }
    return (msg_layout){NULL, 0};
}

typedef struct msg_writer {
    unsigned char *bytes;
    size_t used;
    size_t size;
} msg_writer;

/* Value of a numeric member; a negative one is sent as 0. */
static uint64_t
msg_get_number(const msg_field *f, const char *member)
{
    switch (f->kind) {
    case MSG_INT: {
        int value = *(const int *)member;
        return value < 0 ? 0 : (uint64_t)value;
    }
    case MSG_I64: {
        int64_t value = *(const int64_t *)member;
        return value < 0 ? 0 : (uint64_t)value;
    }
    case MSG_U16:
        return *(const uint16_t *)member;
    case MSG_U32:
        return *(const uint32_t *)member;
    default:
        return *(const uint64_t *)member;
    }
}

static void
msg_write_raw(msg_writer *w, const char *bytes, size_t length)
{
    memcpy(w->bytes + w->used, bytes, length);
    w->used += length;
}

static void
msg_write_field(msg_writer *w, const msg_field *f, const char *member)
{
    unsigned char *next = w->bytes + w->used;
    size_t left = w->size - w->used;
    switch (f->kind) {
    case MSG_BOOL:
        w->used += cbor_encode_bool(*(const bool *)member, next, left);
        return;
    case MSG_TEXT:
        w->used += cbor_encode_string_start(strlen(member), next, left);
        msg_write_raw(w, member, strlen(member));
        return;
    case MSG_BODY: {
        const msg_body *body = (const msg_body *)member;
        w->used += cbor_encode_bytestring_start(body->length, next, left);
        if (body->length > 0) {
            msg_write_raw(w, body->bytes, body->length);
        }
        return;
    }
    default:
        w->used += cbor_encode_uint(msg_get_number(f, member), next, left);
        return;
    }
}

static void
msg_write_struct(msg_writer *w, const msg_layout *layout, const void *source)
{
    for (size_t i = 0; i < layout->count; i++) {
        const msg_field *f = &layout->fields[i];
        msg_write_field(w, f, (const char *)source + f->offset);
    }
}

static void
msg_write_gossip(msg_writer *w, const msg_gossip *gossip)
{
    w->used += cbor_encode_uint(gossip->config, w->bytes + w->used,
                                w->size - w->used);
    for (size_t i = 0; i < gossip->count; i++) {
        w->used += cbor_encode_array_start(
            msg_member_layout.count, w->bytes + w->used, w->size - w->used);
        msg_write_struct(w, &msg_member_layout, &gossip->news[i]);
    }
}

/* Upper bound of the encoded size of a struct, in bytes. */
static size_t
msg_struct_size_max(const msg_layout *layout, const void *source)
{
    size_t size_max = MSG_ITEM_HEAD_SIZE_MAX;
    for (size_t i = 0; i < layout->count; i++) {
        const msg_field *f = &layout->fields[i];
        const char *member = (const char *)source + f->offset;
        size_max += MSG_ITEM_HEAD_SIZE_MAX;
        if (f->kind == MSG_TEXT) {
            size_max += f->size;
        }
        else if (f->kind == MSG_BODY) {
            size_max += ((const msg_body *)member)->length;
        }
    }
    return size_max;
}

/* Upper bound of the encoded size of a message, in bytes. */
static size_t
msg_size_max(const msg *m, const msg_layout *layout)
{
    if (m->kind != MSG_GOSSIP) {
        return 2 * MSG_ITEM_HEAD_SIZE_MAX +
               msg_struct_size_max(layout, &m->call);
    }
    size_t size_max = 3 * MSG_ITEM_HEAD_SIZE_MAX;
    for (size_t i = 0; i < m->gossip.count; i++) {
        size_max +=
            msg_struct_size_max(&msg_member_layout, &m->gossip.news[i]);
    }
    return size_max;
}

/* Encode a message into a new buffer, which the caller frees.
 * ERR_NO_MEMORY is the only error. */
int
msg_encode(char **out, size_t *out_length, const msg *m)
{
    msg_layout layout = msg_get_layout(m->kind);
    msg_writer w = {NULL, 0, msg_size_max(m, &layout)};
    w.bytes = malloc(w.size);
    if (w.bytes == NULL) {
        return ERR_NO_MEMORY;
    }
    size_t items =
        m->kind == MSG_GOSSIP ? 2 + m->gossip.count : 1 + layout.count;
    w.used = cbor_encode_array_start(items, w.bytes, w.size);
    w.used +=
        cbor_encode_uint((uint64_t)m->kind, w.bytes + w.used, w.size - w.used);
    if (m->kind == MSG_GOSSIP) {
        msg_write_gossip(&w, &m->gossip);
    }
    else {
        msg_write_struct(&w, &layout, &m->call);
    }
    *out = (char *)w.bytes;
    *out_length = w.used;
    return 0;
}

/* Read an unsigned integer that fits the member's type. */
static int
msg_read_number(char *member, const msg_field *f, const cbor_item_t *item)
{
    if (!cbor_isa_uint(item)) {
        return ERR_INVALID;
    }
    uint64_t value = cbor_get_int(item);
    switch (f->kind) {
    case MSG_INT:
        *(int *)member = (int)value;
        return value <= INT32_MAX ? 0 : ERR_INVALID;
    case MSG_I64:
        *(int64_t *)member = (int64_t)value;
        return value <= INT64_MAX ? 0 : ERR_INVALID;
    case MSG_U16:
        *(uint16_t *)member = (uint16_t)value;
        return value <= UINT16_MAX ? 0 : ERR_INVALID;
    case MSG_U32:
        *(uint32_t *)member = (uint32_t)value;
        return value <= UINT32_MAX ? 0 : ERR_INVALID;
    default:
        *(uint64_t *)member = value;
        return 0;
    }
}

/* Read a string that fits the member and contains no NUL. */
static int
msg_read_text(char *member, const msg_field *f, const cbor_item_t *item)
{
    if (!cbor_isa_string(item) || !cbor_string_is_definite(item) ||
        cbor_string_length(item) >= f->size) {
        return ERR_INVALID;
    }
    size_t length = cbor_string_length(item);
    if (length > 0) {
        memcpy(member, cbor_string_handle(item), length);
    }
    member[length] = '\0';
    return strlen(member) == length ? 0 : ERR_INVALID;
}

/* Copy a byte string of at most MSG_BODY_BYTES_MAX bytes. */
static int
msg_read_body(msg_body *body, const cbor_item_t *item)
{
    if (!cbor_isa_bytestring(item) || !cbor_bytestring_is_definite(item) ||
        cbor_bytestring_length(item) > MSG_BODY_BYTES_MAX) {
        return ERR_INVALID;
    }
    return msg_body_copy(body, (const char *)cbor_bytestring_handle(item),
                         cbor_bytestring_length(item));
}

static int
msg_read_field(char *member, const msg_field *f, const cbor_item_t *item)
{
    switch (f->kind) {
    case MSG_BOOL:
        if (!cbor_is_bool(item)) {
            return ERR_INVALID;
        }
        *(bool *)member = cbor_get_bool(item);
        return 0;
    case MSG_TEXT:
        return msg_read_text(member, f, item);
    case MSG_BODY:
        return msg_read_body((msg_body *)member, item);
    default:
        return msg_read_number(member, f, item);
    }
}

static int
msg_read_struct(void *target, const msg_layout *layout, cbor_item_t **items)
{
    for (size_t i = 0; i < layout->count; i++) {
        const msg_field *f = &layout->fields[i];
        int result = msg_read_field((char *)target + f->offset, f, items[i]);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

/* Read a configuration version and the membership updates after it. */
static int
msg_read_gossip(msg_gossip *gossip, cbor_item_t **items, size_t count)
{
    if (count < 1 || count - 1 > SWIM_UPDATES_MAX + 1 ||
        !cbor_isa_uint(items[0])) {
        return ERR_INVALID;
    }
    gossip->config = cbor_get_int(items[0]);
    for (size_t i = 1; i < count; i++) {
        swim_member *member = &gossip->news[gossip->count];
        if (!cbor_isa_array(items[i]) ||
            cbor_array_size(items[i]) != msg_member_layout.count ||
            msg_read_struct(member, &msg_member_layout,
                            cbor_array_handle(items[i])) < 0 ||
            member->name[0] == '\0' ||
            (unsigned)member->state >= SWIM_STATE_COUNT) {
            return ERR_INVALID;
        }
        gossip->count++;
    }
    return 0;
}

/* Read the kind of a message, then its fields. */
static int
msg_read_message(msg *out, cbor_item_t **items, size_t count)
{
    if (count < 1 || !cbor_isa_uint(items[0])) {
        return ERR_INVALID;
    }
    uint64_t kind = cbor_get_int(items[0]);
    if (kind < MSG_CALL || kind > MSG_OBJECT) {
        return ERR_INVALID;
    }
    out->kind = (enum msg_kind)kind;
    if (out->kind == MSG_GOSSIP) {
        return msg_read_gossip(&out->gossip, items + 1, count - 1);
    }
    msg_layout layout = msg_get_layout(out->kind);
    if (count - 1 != layout.count) {
        return ERR_INVALID;
    }
    return msg_read_struct(&out->call, &layout, items + 1);
}

/* Check that the enum values of a message are known. */
static int
msg_check_enums(const msg *m)
{
    switch (m->kind) {
    case MSG_CALL:
        return m->call.klass < SVC_CLASS_COUNT ? 0 : ERR_INVALID;
    case MSG_REPLY:
        return m->reply.outcome <= OUTCOME_UNKNOWN &&
                       m->reply.reason < REASON_COUNT
                   ? 0
                   : ERR_INVALID;
    default:
        return 0;
    }
}

/* Decode a message of at most MSG_BYTES_MAX bytes; ERR_INVALID if it is
 * malformed.  On success the caller passes it to msg_clear(). */
int
msg_decode(msg *out, const char *bytes, size_t length, err *e)
{
    memset(out, 0, sizeof(*out));
    if (length > MSG_BYTES_MAX) {
        return ERR_SET(e, ERR_INVALID, "message too large: %zu bytes", length);
    }
    struct cbor_load_result load;
    cbor_item_t *item = cbor_load((const unsigned char *)bytes, length, &load);
    if (item == NULL) {
        return ERR_SET(e, ERR_INVALID, "invalid CBOR at byte %zu",
                       load.error.position);
    }
    int result = ERR_INVALID;
    if (cbor_isa_array(item) && load.read == length) {
        result = msg_read_message(out, cbor_array_handle(item),
                                  cbor_array_size(item));
    }
    cbor_decref(&item);
    if (result == 0) {
        result = msg_check_enums(out);
    }
    if (result < 0) {
        msg_clear(out);
        return ERR_SET(e, result, "malformed message");
    }
    return 0;
}

/* Free the body of a message; may be called again on a cleared one. */
void
msg_clear(msg *m)
{
    switch (m->kind) {
    case MSG_CALL:
        free(m->call.body.bytes);
        break;
    case MSG_REPLY:
        free(m->reply.body.bytes);
        break;
    case MSG_OBJECT:
        free(m->object.body.bytes);
        break;
    default:
        break;
    }
    memset(m, 0, sizeof(*m));
}

/* Copy `length` bytes into a new body and append a NUL. */
int
msg_body_copy(msg_body *out, const char *bytes, size_t length)
{
    char *copy = malloc(length + 1);
    if (copy == NULL) {
        return ERR_NO_MEMORY;
    }
    if (length > 0) {
        memcpy(copy, bytes, length);
    }
    copy[length] = '\0';
    out->bytes = copy;
    out->length = length;
    return 0;
}
