// At-most-once execution: whichever nodes join, leave, crash, lose their
// memory or use an outdated owner map, no request id is ever admitted to run
// by two nodes, nor twice by one.
#include "prop.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "lav/dedup.h"

namespace {

constexpr int64_t START_MS = 1000000;
constexpr int64_t WINDOW_MS = 60000;

struct node {
    uint64_t incarnation;
    dedup_record *record;
    dedup_owner_map map; // as last seen by this node
    bool leaving = false;
};

struct simulation {
    int64_t now_ms = START_MS;
    uint64_t next_incarnation = 1;
    dedup_owner_map platform{};
    std::vector<node> nodes;
    std::vector<id> ids;
    std::map<std::string, int> runs;
    std::set<std::string> refused;

    ~simulation()
    {
        for (node &n : nodes) {
            dedup_free(n.record);
        }
    }

    void
    join()
    {
        node n{};
        dedup_options options = DEDUP_OPTIONS_INIT;
        options.self = n.incarnation = next_incarnation++;
        options.window_ms = WINDOW_MS;
        options.ids_max = 64;
        RC_ASSERT(dedup_new(&n.record, &options) == 0);
        nodes.push_back(n);
    }

    node &
    random_node()
    {
        return nodes[(size_t)pick(0, (int)nodes.size() - 1)];
    }

    // A node crashes and loses its memory, and may restart as a new
    // incarnation.
    void
    crash()
    {
        size_t at = (size_t)pick(0, (int)nodes.size() - 1);
        dedup_free(nodes[at].record);
        nodes.erase(nodes.begin() + (long)at);
        if (nodes.empty() || pick(0, 1)) {
            join();
        }
    }

    // Conditional update of the stored owner map, based on its current
    // version.
    void
    extend()
    {
        std::vector<uint64_t> members;
        for (const node &n : nodes) {
            if (!n.leaving && pick(0, 3) > 0) {
                members.push_back(n.incarnation);
            }
        }
        dedup_owner_map next = platform;
        if (dedup_owner_map_extend(&next, members.data(), members.size(),
                                   now_ms, pick(500, 5000), WINDOW_MS)) {
            next.version = platform.version + 1;
            platform = next;
        }
    }

    void
    leave()
    {
        node &n = random_node();
        int64_t from_ms = now_ms + pick(0, 1500);
        dedup_stop_accepting(n.record, from_ms);
        n.leaving = true;
        dedup_owner_map next = platform;
        std::vector<uint64_t> ready;
        for (const node &other : nodes) {
            if (!other.leaving) {
                ready.push_back(other.incarnation);
            }
        }
        if (dedup_owner_map_hand_over(&next, n.incarnation, from_ms,
                                      ready.data(), ready.size())) {
            next.version = platform.version + 1;
            platform = next;
        }
    }

    void
    refresh_map()
    {
        node &n = random_node();
        dedup_set_owner_map(n.record, &platform);
    }

    void
    request()
    {
        id request_id;
        if (ids.empty() || pick(0, 1)) {
            id_generate(&request_id, now_ms + pick(-3000, 3000));
            ids.push_back(request_id);
        }
        else {
            request_id = ids[(size_t)pick(0, (int)ids.size() - 1)];
        }
        node &n = random_node();
        if (dedup_decide(n.record, &request_id, now_ms) != DEDUP_RUN) {
            return;
        }
        RC_ASSERT(refused.count(request_id.text) == 0);
        finish(n, request_id);
    }

    void
    finish(node &n, const id &request_id)
    {
        switch (pick(0, 4)) {
        case 0:
            dedup_mark_refused(n.record, &request_id, false);
            return;
        case 1:
            dedup_mark_refused(n.record, &request_id, true);
            refused.insert(request_id.text);
            return;
        case 2:
            dedup_mark_dispatched(n.record, &request_id);
            RC_ASSERT(++runs[request_id.text] == 1);
            dedup_mark_lost(n.record, &request_id);
            return;
        case 3:
            dedup_mark_dispatched(n.record, &request_id);
            RC_ASSERT(++runs[request_id.text] == 1);
            return; // still running
        default:
            dedup_mark_dispatched(n.record, &request_id);
            RC_ASSERT(++runs[request_id.text] == 1);
            dedup_store_response(n.record, &request_id, 200, "text/plain",
                                 "ok", 2);
            return;
        }
    }

    void
    step()
    {
        switch (pick(0, 13)) {
        case 0:
            join();
            break;
        case 1:
            crash();
            break;
        case 2:
        case 3:
            extend();
            break;
        case 4:
            leave();
            break;
        case 5:
        case 6:
        case 7:
            refresh_map();
            break;
        case 8:
            now_ms += pick(0, 3) ? pick(1, 3000) : pick(20000, 70000);
            break;
        default:
            request();
        }
    }
};

} // namespace

int
main()
{
    prop_runner runner;
    runner.check("no id runs twice, nor after a permanent refusal", [] {
        simulation w;
        w.join();
        w.join();
        int steps = pick(50, 400);
        for (int i = 0; i < steps; i++) {
            w.step();
        }
    });
    runner.check("an id changes its owner only if the owner left", [] {
        dedup_owner_map map{};
        std::vector<uint64_t> members{1, 2, 3, 4};
        int64_t now_ms = START_MS;
        RC_ASSERT(dedup_owner_map_extend(&map, members.data(), members.size(),
                                         now_ms, 5000, WINDOW_MS));
        id request_id;
        id_generate(&request_id, now_ms + pick(0, 4999));
        uint64_t owner = dedup_owner_map_find(&map, &request_id);
        RC_ASSERT(owner != 0u);
        std::set<uint64_t> left;
        for (int i = 0; i < 8; i++) {
            now_ms += pick(1, 1500);
            if (pick(0, 2) == 0) {
                uint64_t leaver = (uint64_t)pick(1, 4);
                std::vector<uint64_t> ready{5, 6, (uint64_t)pick(1, 4)};
                dedup_owner_map_hand_over(&map, leaver, now_ms, ready.data(),
                                          (size_t)pick(0, 3));
                left.insert(leaver);
            }
            members.resize((size_t)pick(1, 4));
            dedup_owner_map_extend(&map, members.data(), members.size(),
                                   now_ms, 5000, WINDOW_MS);
            uint64_t later = dedup_owner_map_find(&map, &request_id);
            RC_ASSERT(later == owner || left.count(owner) == 1);
            owner = later;
        }
    });
    runner.check("rolling restarts leave no id without a live owner", [] {
        dedup_owner_map map{};
        std::vector<uint64_t> members{1, 2, 3};
        int64_t now_ms = START_MS;
        RC_ASSERT(dedup_owner_map_extend(&map, members.data(), members.size(),
                                         now_ms, 600000, WINDOW_MS));
        std::set<uint64_t> alive(members.begin(), members.end());
        for (uint64_t leaver = 1; leaver <= 3; leaver++) {
            now_ms += pick(1000, 20000);
            alive.erase(leaver);
            std::vector<uint64_t> ready(alive.begin(), alive.end());
            RC_ASSERT(dedup_owner_map_hand_over(&map, leaver, now_ms,
                                                ready.data(), ready.size()));
            alive.insert(leaver + 10); // restarted as a new incarnation
            id request_id;
            id_generate(&request_id, now_ms + pick(0, 500));
            RC_ASSERT(alive.count(dedup_owner_map_find(&map, &request_id)) ==
                      1u);
        }
    });
    return runner.finish();
}
