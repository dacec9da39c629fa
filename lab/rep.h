/*
 * rep: figures of a finished load.
 */
#ifndef LAB_REP_H
#define LAB_REP_H

#include <jansson.h>

#include "exl.h"
#include "lod.h"

json_t *rep_figures(const lod *l, const exl_verdict *verdict);
void rep_print(const lod *l, const exl_verdict *verdict);
double rep_goodput(const lod *l, double from_s, double to_s,
                   const char *klass);
double rep_success(const lod *l, double from_s, double to_s,
                   const char *klass);
double rep_recovery(const lod *l, double end_s, double baseline,
                    const char *klass);

#endif
