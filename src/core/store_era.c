#include "lav/store_era.h"

/* Notes the era of an answer, if it names one.  The first one that is named is
 * the present one, and an answer that names none tells nothing. */
enum store_era_order
store_era_note(store_era *era, bool named, uint64_t value)
{
    if (!named || (era->known && value == era->value)) {
        return STORE_ERA_PRESENT;
    }
    if (era->known && value < era->value) {
        return STORE_ERA_OLDER;
    }
    bool restored = era->known;
    era->known = true;
    era->value = value;
    return restored ? STORE_ERA_NEWER : STORE_ERA_PRESENT;
}
