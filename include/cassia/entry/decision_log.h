/// Why the entry did what it did: typed events in a bounded ring, and in the log.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cassia::entry {

enum class decision_kind {
    routed,      ///< sent to an endpoint
    queued,      ///< waits for a slot
    refused,     ///< answered without an endpoint
    retried,     ///< sent again after a failure
    resumed,     ///< a stream went on at another endpoint
    ended,       ///< answered in full
    yielded,     ///< batch items gave their slots to online calls
    struck,      ///< blamed for the death of an endpoint
    ejected,     ///< an endpoint was left out
    item_leased, ///< a batch item came to this entry
    item_ended,
};
const char* decision_name(decision_kind kind);

struct decision {
    wall_time at;
    decision_kind kind = decision_kind::routed;
    std::string subject; ///< request, job, endpoint or change
    std::string object;  ///< what it was decided about it: endpoint, code
    std::string reason;
};

class decision_log {
public:
    explicit decision_log(std::size_t capacity) : capacity_(capacity) {}

    void add(decision_kind kind, const std::string& subject, const std::string& object,
             const std::string& reason);
    /// Decisions whose subject or object is the text, oldest first.
    std::vector<decision> about(const std::string& text) const;

private:
    std::size_t capacity_;
    std::deque<decision> ring_;
};

} // namespace cassia::entry
