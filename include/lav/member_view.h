/*
 * member_view: whether all nodes that divide something among them know of each
 * other.  Each divides by the number of members that it knows, so one that
 * others don't know yet must not take a part, nor one whose list may lack
 * members: a store that was restored from a copy lacks those that have not
 * written their entries again.
 *
 * Load pattern: a fleet that starts all at once for the first time, or a node
 * that starts again, while the store is slow, silent, away or restored; noted
 * with each entry of this node.
 */
#ifndef LAV_MEMBER_VIEW_H
#define LAV_MEMBER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* 3 s, in which all nodes hear of a new entry, in order.  A restored store has
 * the entries of all that reach it within that time, too. */
#define MEMBER_VIEW_NEWS_US 3000000

typedef struct member_view {
    bool listed;       /* all members were read */
    int64_t listed_us; /* when they first were */
    bool complete;     /* none was missing then */
    bool earlier_seen; /* an entry of an earlier start of this node as well */
    bool own_seen;     /* the entry of this start was read from the store */
    int64_t own_seen_us;
} member_view;

void member_view_note_list(member_view *view, int64_t now_us);
void member_view_note_complete(member_view *view);
void member_view_note_earlier(member_view *view);
void member_view_note_own(member_view *view, int64_t now_us);
bool member_view_is_mutual(const member_view *view, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
