#include "pending.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct pending_table {
    pthread_mutex_t lock;
    size_t size;
    pending_call *calls;
    size_t free_count;
    int *free_list;
};

/* Make a table of at most `calls_max` calls. */
int
pending_new(pending_table **out, size_t calls_max)
{
    pending_table *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&c->lock, NULL);
    c->calls = calloc(calls_max, sizeof(*c->calls));
    c->free_list = calloc(calls_max, sizeof(*c->free_list));
    if (c->calls == NULL || c->free_list == NULL) {
        pending_free(c);
        return ERR_NO_MEMORY;
    }
    c->size = calls_max;
    for (size_t i = 0; i < calls_max; i++) {
        c->free_list[c->free_count++] = (int)(calls_max - 1 - i);
    }
    *out = c;
    return 0;
}

/* Release the table; takes NULL. */
void
pending_free(pending_table *c)
{
    if (c == NULL) {
        return;
    }
    for (size_t i = 0; c->calls != NULL && i < c->size; i++) {
        free(c->calls[i].body.bytes);
        free(c->calls[i].answer.body.bytes);
    }
    pthread_mutex_destroy(&c->lock);
    free(c->calls);
    free(c->free_list);
    free(c);
}

/* Take a cleared call; its handle, or PENDING_NONE where the table is full. */
int
pending_acquire(pending_table *c)
{
    int handle = PENDING_NONE;
    pthread_mutex_lock(&c->lock);
    if (c->free_count > 0) {
        handle = c->free_list[--c->free_count];
    }
    pthread_mutex_unlock(&c->lock);
    if (handle != PENDING_NONE) {
        memset(&c->calls[handle], 0, sizeof(c->calls[handle]));
        c->calls[handle].used = true;
    }
    return handle;
}

/* Give a call back once its answer has been sent. */
void
pending_release(pending_table *c, int handle)
{
    pending_call *call = &c->calls[handle];
    free(call->body.bytes);
    free(call->answer.body.bytes);
    call->body = (msg_body){0, NULL};
    call->answer.body = (msg_body){0, NULL};
    pthread_mutex_lock(&c->lock);
    call->used = false;
    c->free_list[c->free_count++] = handle;
    pthread_mutex_unlock(&c->lock);
}

/* The call behind a handle. */
pending_call *
pending_get(pending_table *c, int handle)
{
    return &c->calls[handle];
}

/* Calls that the table can hold. */
size_t
pending_capacity(const pending_table *c)
{
    return c->size;
}
