#include "lav/member_view.h"

/* Notes that all members that the store or a peer knows have been read. */
void
member_view_note_list(member_view *view, int64_t now_us)
{
    if (!view->listed) {
        view->listed = true;
        view->listed_us = now_us;
    }
}

/* Notes that no member is missing among those that have been read: the store
 * has not been restored lately, or a node tells them that has known all for a
 * while. */
void
member_view_note_complete(member_view *view)
{
    view->complete = true;
}

/* Notes an entry of an earlier start of this node: the others know of it. */
void
member_view_note_earlier(member_view *view)
{
    view->earlier_seen = true;
}

/* Notes that the entry of this start was read from the store, and with it all
 * those written before. */
void
member_view_note_own(member_view *view, int64_t now_us)
{
    if (!view->own_seen) {
        view->own_seen = true;
        view->own_seen_us = now_us;
    }
}

/* Whether this node knows the others and they know it.  Of two nodes that are
 * new, the one that wrote its entry later has read the other's with its own,
 * and waits until that one has heard of it.  A node that started again is known
 * to the others, but may have read the entries before the others had written
 * theirs to a restored store. */
bool
member_view_is_mutual(const member_view *view, int64_t now_us)
{
    bool knows_others =
        view->listed &&
        (view->complete || now_us - view->listed_us >= MEMBER_VIEW_NEWS_US);
    bool known =
        view->earlier_seen ||
        (view->own_seen && now_us - view->own_seen_us >= MEMBER_VIEW_NEWS_US);
    return knows_others && known;
}
