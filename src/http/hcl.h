/*
 * hcl: one small HTTP exchange of the control plane, whole bodies both ways:
 * calls to the platform's store and between nodes.  Never sent twice.
 */
#ifndef LAV_HCL_H
#define LAV_HCL_H

#include "hpl.h"

#define HCL_BODY_MAX (8 * 1024 * 1024) /* bytes of an answer */
#define HCL_FIELDS_MAX 2               /* header fields asked for */
#define HCL_VALUE_SIZE 128             /* bytes of one, with the NUL */

enum hcl_result {
    HCL_ANSWERED,
    HCL_NOT_SENT, /* provably not received */
    HCL_LOST      /* sent, and no whole answer came */
};

typedef struct hcl_answer {
    enum hcl_result result;
    int status;
    const char *body; /* valid during the callback */
    size_t length;
    /* Of the fields that were asked for; "": absent or too long. */
    char values[HCL_FIELDS_MAX][HCL_VALUE_SIZE];
} hcl_answer;

typedef void (*hcl_cb)(const hcl_answer *answer, void *payload);

typedef struct hcl_call hcl_call;

typedef struct hcl_options {
    const char *method;
    const char *path;
    const char *body; /* JSON; NULL: none */
    size_t length;
    int64_t timeout_us;
    const char *fields[HCL_FIELDS_MAX]; /* of the answer, wanted; or NULL */
} hcl_options;

int hcl_start(hcl_call **out, hpl *pool, hlp *l, const struct sockaddr_in *to,
              const hcl_options *opts, hcl_cb done, void *payload);
void hcl_cancel(hcl_call *call);

#endif
