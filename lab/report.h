/*
 * report: results of a finished load: goodput, success ratio, latency
 * percentiles and time to recovery, as JSON or as a table.
 */
#ifndef LAB_REPORT_H
#define LAB_REPORT_H

#include <jansson.h>

#include "exec_log.h"
#include "loadgen.h"

json_t *report_to_json(const loadgen *l, const exec_log_result *log_result);
void report_print(const loadgen *l, const exec_log_result *log_result);
double report_goodput_per_s(const loadgen *l, double from_s, double to_s,
                            const char *klass);
double report_success_ratio(const loadgen *l, double from_s, double to_s,
                            const char *klass);
double report_recovery_s(const loadgen *l, double end_s, double baseline,
                         const char *klass);

#endif
