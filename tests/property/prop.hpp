// prop: what the property tests share.  RC_PARAMS="seed=..." sets a seed;
// CI sets a fixed one, and a failing run prints its own.
#ifndef LAV_PROP_HPP
#define LAV_PROP_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <string>

// Number in [low, high].
inline int
pick(int low, int high)
{
    return *rc::gen::inRange(low, high + 1);
}

// Run one property and count it; the closing line is printed by finish().
struct prop_runner {
    int passed = 0;
    int failed = 0;

    template <typename Body>
    void
    check(const std::string &what, Body body)
    {
        (rc::check(what, body) ? passed : failed)++;
    }

    int
    finish() const
    {
        std::printf("%d passed, %d failed\n", passed, failed);
        return failed == 0 ? 0 : 1;
    }
};

#endif
