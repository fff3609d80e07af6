/// What a fleet in virtual time is made of whose prompts share parts.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassia::policy {

struct part_model {
    int endpoints = 8;
    std::size_t slots = 8;
    std::size_t gateways = 3;
    milliseconds restart{2000};
    double sound_per_s = 40;
    milliseconds sound_time{600};
    std::size_t bad_position = 1; ///< of three: one first part, 12 second ones, five third ones
    int bad_parts = 1;
    double bad_per_s = 10; ///< of each bad part
    milliseconds bad_time{100};
    milliseconds bad_delay{0};   ///< from the end of a run to its crash
    double bad_share = 1;        ///< of the runs with a bad part; the others end as sound ones do
    int bad_bodies = 0;          ///< requests that crash endpoints and repeat, with sound parts
    double bad_body_per_s = 10;  ///< of each of these
    bool rare_parts = false;     ///< each of these has a part that no other request has
    double rare_sound_per_s = 0; ///< of sound requests with such a part, no two alike
    /// Share of the requests with a bad part, and rate of sound ones, that have one more part.
    double companion_share = 0;
    double companion_per_s = 0;
    double sound_history_per_s = 0; ///< of each bad part's requests, before it begins to crash
    milliseconds history{10000};    ///< sound requests come for this time before anything crashes
    /// Share of the endpoints that crash for another reason, the interval of these outages and the
    /// time from one crash of an outage to the next.
    double outage_share = 0;
    milliseconds outage_interval{0};
    milliseconds outage_step{0};
    milliseconds length{20000}; ///< from the first bad request on
    milliseconds verdict_delay{60};
};

struct part_result {
    std::size_t crashes = 0; ///< that bad parts caused
    /// Of one part, later than 3 s after its fifth crash, or of one request, after its third.
    std::size_t late_runs = 0;
    std::size_t quarantined = 0;      ///< bad parts and bodies
    std::set<std::string> innocent;   ///< other causes that were quarantined
    std::size_t sound = 0;            ///< sent
    std::size_t refused = 0;          ///< sound ones, as quarantined
    std::size_t served_bad = 0;       ///< runs of requests with bad parts that were survived
    std::size_t delayed = 0;          ///< sound ones that waited for a second as suspects
    milliseconds longest_suspicion{}; ///< of a sound part, without a pause
};

/// A request with shared parts of its prompt; bad causes begin with B.
struct part_request {
    std::string body;
    std::vector<std::string> parts;
    std::size_t gateway = 0;
    instant sent_at{};
    int runs = 0;
    trial_id trial;
    bool was_suspect = false;
    bool is_sound = false; ///< whatever its parts are called

    std::optional<std::string> crashes_by() const {
        if (is_sound)
            return std::nullopt;
        if (body[0] == 'B')
            return body;
        for (const std::string& part : parts) {
            if (part[0] == 'B')
                return part;
        }
        return std::nullopt;
    }
};

inline std::size_t tolerated_crashes(const std::string& cause) {
    return cause.starts_with("Body") ? 3 : 5;
}

inline part_request make_part_request(std::mt19937_64& random, std::uint64_t number,
                                      std::size_t gateways, instant now) {
    part_request made;
    made.body = "r" + std::to_string(number);
    made.parts = {"first", "second" + std::to_string(random() % 12),
                  "third" + std::to_string(random() % 5)};
    made.gateway = random() % gateways;
    made.sent_at = now;
    return made;
}

} // namespace cassia::policy
