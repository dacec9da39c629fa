/*
 * config_contact: whether a newer version of the desired state than the one
 * that a node knows may be in force.  The store and peers name their versions;
 * a node that hears neither can't know.  Where few nodes read the store, these
 * confirm the version for a while.
 *
 * Load pattern: noted with each message of a peer or the store.
 */
#ifndef LAV_CONFIG_CONTACT_H
#define LAV_CONFIG_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Silence of the store and all peers after which a version may be outdated,
 * 3 s; a quiet node asks a peer every second. */
#define CONFIG_CONTACT_SILENCE_US 3000000

typedef struct config_contact {
    uint64_t heard_version;     /* the newest that a peer has named */
    int64_t heard_us;           /* when the store or a peer last named one */
    bool store_follows;         /* the store answers, and tells of changes */
    int64_t confirmed_until_us; /* until then as if the store did */
} config_contact;

void config_contact_hear_peer(config_contact *contact, uint64_t version,
                              int64_t now_us);
void config_contact_hear_store(config_contact *contact, int64_t now_us);
void config_contact_hear_reader(config_contact *contact, int64_t until_us);
void config_contact_lose_store(config_contact *contact);
bool config_contact_may_be_outdated(const config_contact *contact,
                                    uint64_t version, bool has_peers,
                                    int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
