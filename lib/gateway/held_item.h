/// One batch item that this gateway holds a lease of.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/sse_parser.h"
#include "cassia/schema/messages.pb.h"

#include <set>
#include <string>

namespace cassia::gateway {

struct item_runner::held_item {
    schema::leased_item leased;
    call_id attempt; ///< none while it waits
    endpoint_id endpoint;
    std::set<endpoint_id> avoided;
    instant ready_at{};
    instant progress_at{};
    std::uint64_t started = 0; ///< counts up over all starts; the newest yield first
    std::uint32_t runs = 0;
    int status = 0;       ///< of the answer that is coming in
    bool not_run = false; ///< the endpoint says so

    sse_parser events;
    std::uint64_t last_event = 0;
    std::uint64_t saved_event = 0; ///< last one that the store has
    instant saved_at{};
    std::string text; ///< data of all whole events, joined by line feeds
};

} // namespace cassia::gateway
