/*
 * syn_member: a member's object on the platform, "members/NAME".
 */
#ifndef LAV_NODE_SYN_MEMBER_H
#define LAV_NODE_SYN_MEMBER_H

#include "lav/mbr.h"

char *syn_member_format(const mbr_entry *entry, int64_t refreshed_ms);
int syn_member_parse(mbr_entry *out, int64_t *out_refreshed_ms,
                     const char *text);

#endif
