#include "lav/config_contact.h"

/* Notes that a peer has named the version that it knows. */
void
config_contact_hear_peer(config_contact *contact, uint64_t version,
                         int64_t now_us)
{
    if (version > contact->heard_version) {
        contact->heard_version = version;
    }
    contact->heard_us = now_us;
}

/* Notes that the store has answered; from then on it tells of changes. */
void
config_contact_hear_store(config_contact *contact, int64_t now_us)
{
    contact->store_follows = true;
    contact->heard_us = now_us;
}

/* Notes that a node that reads the store has confirmed the version in force,
 * which holds until `until_us`. */
void
config_contact_hear_reader(config_contact *contact, int64_t until_us)
{
    if (until_us > contact->confirmed_until_us) {
        contact->confirmed_until_us = until_us;
    }
}

/* Notes that the store has stopped answering, or isn't read any more. */
void
config_contact_lose_store(config_contact *contact)
{
    contact->store_follows = false;
}

/* Whether a newer version than `version` may be in force: a peer has named
 * one, neither the store nor a reader of it answers, or everybody is silent,
 * which a node that knows no peer can't tell from quiet. */
bool
config_contact_may_be_outdated(const config_contact *contact, uint64_t version,
                               bool has_peers, int64_t now_us)
{
    bool silent =
        has_peers && now_us - contact->heard_us > CONFIG_CONTACT_SILENCE_US;
    bool follows =
        contact->store_follows || now_us < contact->confirmed_until_us;
    return contact->heard_version > version || !follows || silent;
}
