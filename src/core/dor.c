#include "lav/dor.h"

static const svc_policy dor_policy = {.admission = true,
                                      .rank = true,
                                      .queue = SVC_QUEUE_CLASS,
                                      .queue_ms = 100,
                                      .queue_length = DOR_QUEUE_LENGTH};

/* Make the admission of a target that has announced no slots yet. */
int
dor_new(adm **out)
{
    return adm_new(out, &dor_policy);
}

/* A request as the admission takes it. */
adm_call
dor_call(const dor_request *r, int64_t now_us)
{
    return (adm_call){.handle = r->handle,
                      .klass = SVC_CRITICAL,
                      .rank = r->rank,
                      .deadline_us = r->deadline_us,
                      .arrived_us = now_us,
                      .patience_us = r->objective_us / DOR_PATIENCE_PART};
}
