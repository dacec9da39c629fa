#include "cal.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct cal {
    pthread_mutex_t lock;
    size_t size;
    cal_call *calls;
    size_t free_count;
    int *free_list;
};

/* Make a table of at most `calls_max` calls. */
int
cal_new(cal **out, size_t calls_max)
{
    cal *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&c->lock, NULL);
    c->calls = calloc(calls_max, sizeof(*c->calls));
    c->free_list = calloc(calls_max, sizeof(*c->free_list));
    if (c->calls == NULL || c->free_list == NULL) {
        cal_free(c);
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
cal_free(cal *c)
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

/* Take a cleared call; its handle, or CAL_NONE where the table is full. */
int
cal_take(cal *c)
{
    int handle = CAL_NONE;
    pthread_mutex_lock(&c->lock);
    if (c->free_count > 0) {
        handle = c->free_list[--c->free_count];
    }
    pthread_mutex_unlock(&c->lock);
    if (handle != CAL_NONE) {
        memset(&c->calls[handle], 0, sizeof(c->calls[handle]));
        c->calls[handle].used = true;
    }
    return handle;
}

/* Give a call back once its answer has been sent. */
void
cal_give_back(cal *c, int handle)
{
    cal_call *call = &c->calls[handle];
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
cal_call *
cal_get(cal *c, int handle)
{
    return &c->calls[handle];
}

/* Calls that the table can hold. */
size_t
cal_size(const cal *c)
{
    return c->size;
}
