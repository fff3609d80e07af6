/// The attempt of a call that runs beside its current one.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/net/raw_http.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cassia::gateway {

/// State of one attempt, as online_call has it for the current one under the same names.
struct upstream_attempt {
    std::uint32_t attempt = 0;
    bool holds_slot = false;
    bool connection_broke = false;
    endpoint_id endpoint;
    std::uint64_t incarnation = 0;
    software_version endpoint_version;
    http_address address;
    call_id upstream_call;
    instant sent_at{};
    instant last_reclaim_at{};
    instant last_progress_at{};
    instant first_byte_at{};
    bool not_run = false;
    int rejection_status = 0;
    bool forwards_error = false;
    net::raw_head head;
    std::string body;
    std::size_t unused_bytes = 0;
};

struct hedge_state {
    std::uint32_t attempt = 0; ///< number of the second attempt; 0 while there was none
    bool ejected_first = false;
    std::optional<upstream_attempt> other; ///< set while both attempts run
};

} // namespace cassia::gateway
