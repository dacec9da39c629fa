/*
 * store_sync_member: JSON text of a member object on the platform,
 * "members/NAME".
 */
#ifndef LAV_NODE_STORE_SYNC_MEMBER_H
#define LAV_NODE_STORE_SYNC_MEMBER_H

#include "lav/swim.h"

char *store_sync_member_format(const swim_member *entry, int64_t refreshed_ms);
int store_sync_member_parse(swim_member *out, int64_t *out_refreshed_ms,
                            const char *text);

#endif
