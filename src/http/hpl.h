/*
 * hpl: idle client connections by address, the last used first.  A
 * connection that closes, or on which bytes arrive while it is idle, is
 * dropped.
 */
#ifndef LAV_HPL_H
#define LAV_HPL_H

#include "hcn.h"

#define HPL_KEEP_US 20000000LL /* 20 s; below the idle time of our servers */

typedef struct hpl hpl;

int hpl_new(hpl **out, hlp *l);
void hpl_free(hpl *p);
hcn *hpl_get(hpl *p, const struct sockaddr_in *to, int64_t idle_max_us);
void hpl_put(hpl *p, hcn *c, int64_t keep_us);
void hpl_trim(hpl *p, const struct sockaddr_in *to, int most);
void hpl_drop(hpl *p, const struct sockaddr_in *to);

#endif
