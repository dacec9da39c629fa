#include "pending.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct pending_table {
    pthread_mutex_t lock;
    size_t capacity;
    pending_call *calls;
    size_t free_count;
    int *free_list;
};

/* Create a table for at most `capacity` calls. */
int
pending_new(pending_table **out, size_t capacity)
{
    pending_table *table = calloc(1, sizeof(*table));
    if (table == NULL) {
        return ERR_NO_MEMORY;
    }
    pthread_mutex_init(&table->lock, NULL);
    table->calls = calloc(capacity, sizeof(*table->calls));
    table->free_list = calloc(capacity, sizeof(*table->free_list));
    if (table->calls == NULL || table->free_list == NULL) {
        pending_free(table);
        return ERR_NO_MEMORY;
    }
    table->capacity = capacity;
    for (size_t i = 0; i < capacity; i++) {
        table->free_list[table->free_count++] = (int)(capacity - 1 - i);
    }
    *out = table;
    return 0;
}

/* Free the table and the bodies that it holds; NULL is allowed. */
void
pending_free(pending_table *table)
{
    if (table == NULL) {
        return;
    }
    for (size_t i = 0; table->calls != NULL && i < table->capacity; i++) {
        free(table->calls[i].body.bytes);
        free(table->calls[i].response.body.bytes);
    }
    pthread_mutex_destroy(&table->lock);
    free(table->calls);
    free(table->free_list);
    free(table);
}

/* Take a zeroed entry and return its handle, or PENDING_NONE if the table is
 * full. */
int
pending_acquire(pending_table *table)
{
    int handle = PENDING_NONE;
    pthread_mutex_lock(&table->lock);
    if (table->free_count > 0) {
        handle = table->free_list[--table->free_count];
    }
    pthread_mutex_unlock(&table->lock);
    if (handle != PENDING_NONE) {
        memset(&table->calls[handle], 0, sizeof(table->calls[handle]));
        table->calls[handle].used = true;
    }
    return handle;
}

/* Free the bodies of a call and return its entry to the table. */
void
pending_release(pending_table *table, int handle)
{
    pending_call *call = &table->calls[handle];
    free(call->body.bytes);
    free(call->response.body.bytes);
    call->body = (msg_body){0, NULL};
    call->response.body = (msg_body){0, NULL};
    pthread_mutex_lock(&table->lock);
    call->used = false;
    table->free_list[table->free_count++] = handle;
    pthread_mutex_unlock(&table->lock);
}

/* Return the call of a handle. */
pending_call *
pending_get(pending_table *table, int handle)
{
    return &table->calls[handle];
}

/* Return the maximum number of calls. */
size_t
pending_capacity(const pending_table *table)
{
    return table->capacity;
}
