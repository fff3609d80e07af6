// Sound items of a backlog in which others crash each endpoint that runs them.

#include "item_backlog_simulation.h"

#include <catch2/catch.hpp>

using namespace cassia;
using namespace cassia::policy;

namespace {
constexpr std::uint64_t seeds = 5;
constexpr int max_slowdown = 2; ///< against a backlog without items that crash endpoints
} // namespace

// Guards against sound items that wait behind suspects until their time limit.
TEST_CASE("in virtual time, sound items end soon although others crash endpoints",
          "[.item-backlog]") {
    backlog_model model;
    model.one_bad_in = 0;
    const milliseconds undisturbed = backlog_simulation(model, 1).run().sound_done;
    model.one_bad_in = GENERATE(50, 20, 7);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const backlog_result result = backlog_simulation(model, seed).run();
        CAPTURE(model.one_bad_in, seed, result.crashes, result.sound_left, undisturbed.count());
        CHECK(result.sound_quarantined == 0);
        CHECK(result.sound_done <= max_slowdown * undisturbed);
    }
}
