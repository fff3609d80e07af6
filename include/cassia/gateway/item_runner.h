/// Runs batch items of forwarded jobs: leases them, runs them in free slots, yields to online
/// requests and goes on later behind the last whole event, and reports how they ended.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/sse_parser.h"
#include "cassia/net/raw_client.h"
#include "cassia/policy/slot_table.h"
#include "cassia/routes/table.h"
#include "cassia/schema/messages.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

struct item_runner_hooks {
    using lease_done = std::function<void(const std::vector<schema::leased_item>&)>;
    using report_done = std::function<void(bool durable)>;

    /// Asks for items of a route.
    std::function<void(const std::string& route, std::uint32_t limit, lease_done)> lease;
    /// Reports ends of items until they are durable.
    std::function<void(const schema::items_end&, report_done)> report;
};

class item_runner {
public:
    item_runner(net::raw_client& client, policy::slot_table& slots, metrics& counts,
                header_names names, std::uint32_t window, item_runner_hooks hooks);
    ~item_runner();

    void set_routes(std::shared_ptr<const routes::table> table);
    void tick(instant now, wall_time wall);
    /// Stops items at an endpoint, newest first; they go on later. \returns how many.
    std::uint32_t yield(const endpoint_id& endpoint, std::uint32_t slots);
    void cancel_jobs(const std::set<job_id>& jobs);
    /// Stops items whose lease has gone to somebody else.
    void drop_stale(const schema::stale_items& stale);
    /// Takes no new items and gives back those that are held.
    void leave();
    /// The items held, to be told to the group's leader.
    schema::held_items held() const;
    std::size_t size() const { return items_.size(); }
    std::size_t unreported() const;
    std::size_t running() const;

private:
    using item_key = std::pair<job_id, std::uint32_t>;
    struct held_item;

    void ask_for_items(instant now);
    void add(const schema::leased_item& leased);
    void start_ready(instant now);
    bool start(const item_key& key, held_item& item, instant now);
    net::raw_request request_for(const held_item& item, const endpoint_id& endpoint) const;
    void on_head(const item_key& key, const net::raw_head& head);
    void on_piece(const item_key& key, std::string_view bytes);
    void on_end(const item_key& key);
    void on_failure(const item_key& key, const net::raw_failure& failure);
    bool keep_events(held_item& item, std::string_view bytes);
    void stop(held_item& item);
    void put_back(held_item& item, milliseconds pause, const std::string& cause);
    void end(const item_key& key, schema::item_status status, bool failed_run,
             const std::string& cause);
    void check_silence(instant now);
    void save_progress(instant now);
    void send_reports();
    const schema::route* route_of(const held_item& item) const;

    net::raw_client& client_;
    policy::slot_table& slots_;
    metrics& metrics_;
    header_names names_;
    std::uint32_t window_;
    item_runner_hooks hooks_;
    std::shared_ptr<const routes::table> table_;
    std::map<item_key, std::unique_ptr<held_item>> items_;
    schema::items_end ends_;     ///< not yet on their way
    schema::items_end reported_; ///< on their way until they are durable
    bool reporting_ = false;
    bool asking_ = false;
    instant ask_at_{};
    bool leaving_ = false;
    std::uint64_t starts_ = 0;
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
