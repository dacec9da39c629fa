/*
 * usage_owner: grants requests of workspaces to the nodes that lend their
 * share of the usage caps to this node.  Over any time it grants no more than
 * the cap times the sum of the shares lent, and starts with nothing.  As each
 * share is lent to one owner at a time, all owners together stay under the
 * cap, whatever they believe about each other.
 *
 * Load pattern: hundreds of messages a second, for a few dozen workspaces.
 */
#ifndef LAV_USAGE_OWNER_H
#define LAV_USAGE_OWNER_H

#include "lav/usage_cap.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Looks up a workspace in the desired state in force; NULL: unknown. */
typedef const workspace *(*usage_owner_find_cb)(uint32_t id, void *payload);

typedef struct usage_owner usage_owner;

int usage_owner_new(usage_owner **out, uint64_t epoch,
                    usage_owner_find_cb find, void *payload);
void usage_owner_free(usage_owner *owner);
void usage_owner_reset(usage_owner *owner, uint64_t epoch);
void usage_owner_leave(usage_owner *owner);
void usage_owner_handle(usage_answer *out, usage_owner *owner,
                        const usage_ask *ask, int members, int64_t now_us);
double usage_owner_share(usage_owner *owner, int slot, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
