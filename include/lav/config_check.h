/*
 * config_check: checks a desired state before it is published, and compares it
 * with the one in force.  It finds entries that can never match, limits that
 * contradict each other, and what a publication would change.
 */
#ifndef LAV_CONFIG_CHECK_H
#define LAV_CONFIG_CHECK_H

#include "lav/routing.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CONFIG_CHECK_TEXT_SIZE 768 /* bytes of a finding, with the NUL */

enum config_check_kind {
    CONFIG_CHECK_ERROR,   /* must not be published */
    CONFIG_CHECK_WARNING, /* valid, but probably not what is meant */
    CONFIG_CHECK_CHANGE   /* differs from the desired state in force */
};

typedef struct config_check_finding {
    enum config_check_kind kind;
    char text[CONFIG_CHECK_TEXT_SIZE];
} config_check_finding;

/* Receives a finding, which is valid during the call. */
typedef void (*config_check_cb)(const config_check_finding *finding,
                                void *payload);

void config_check_run(const routing_table *table, config_check_cb report,
                      void *payload);
void config_check_compare(const routing_table *table,
                          const routing_table *in_force,
                          config_check_cb report, void *payload);
const char *config_check_kind_name(enum config_check_kind kind);

#ifdef __cplusplus
}
#endif

#endif
