// prop: helpers shared by the property tests.  RC_PARAMS="seed=..." sets the
// seed; CI sets a fixed one, and a failing run prints its seed.
#ifndef LAV_PROP_HPP
#define LAV_PROP_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <cstdio>
#include <string>

// Random integer in [low, high].
inline int
pick(int low, int high)
{
    return *rc::gen::inRange(low, high + 1);
}

// Runs properties and counts the results; finish() prints the totals and
// returns the exit code.
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
