/// Records the decisions that an entry makes, with their reasons, in a bounded in-memory ring and
/// in the debug log.
#pragma once

#include "cassia/base/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cassia::entry {

enum class decision_kind {
    routed,      ///< sent to an endpoint
    queued,      ///< waits for a free slot
    refused,     ///< rejected with an error
    retried,     ///< sent again from the beginning after a failed attempt
    resumed,     ///< a partly received stream is continued with a new attempt
    ended,       ///< responded to in full, or abandoned by the caller
    yielded,     ///< batch items are asked to release slots for online calls, or did so
    struck,      ///< recorded as a possible cause of an endpoint's crash
    ejected,     ///< an endpoint was excluded from routing
    item_leased, ///< batch items were leased to this entry
    item_ended,  ///< a batch item failed or its outcome is unknown
};
const char* decision_kind_name(decision_kind kind);

struct decision {
    wall_time at;
    decision_kind kind = decision_kind::routed;
    /// What the decision concerns: a request id, a request's fingerprint, a job or an endpoint.
    std::string subject;
    /// What was decided, by kind: an endpoint, error code, service, request or lease holder; an
    /// ended request may have "replayed" or "abandoned".
    std::string object;
    std::string reason;
};

class decision_log {
public:
    explicit decision_log(std::size_t capacity) : capacity_(capacity) {}

    void add(decision_kind kind, const std::string& subject, const std::string& object,
             const std::string& reason);
    /// Decisions whose subject or object equals `id`, oldest first.
    std::vector<decision> find(const std::string& id) const;

private:
    std::size_t capacity_;
    std::deque<decision> ring_;
};

} // namespace cassia::entry
