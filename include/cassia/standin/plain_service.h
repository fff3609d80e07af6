/// Stand-ins for a plain service, which echoes and counts its calls, and for the weight store.
#pragma once

#include "cassia/net/http_server.h"
#include "cassia/net/task.h"
#include "cassia/schema/settings.pb.h"
#include "cassia/standin/announcer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cassia::standin {

class plain_service {
public:
    plain_service(net::task& task, const schema::standin_settings& settings);

    std::string open();
    void leave();

private:
    void on_request(exchange_id exchange, const net::http_request& request);
    void answer(exchange_id exchange, const net::http_request& request);

    net::task& task_;
    const schema::standin_settings& settings_;
    std::unique_ptr<net::http_server> server_;
    announcer announcer_;
    std::set<exchange_id> running_;
    std::map<std::string, std::uint32_t> ran_;        ///< by request id
    std::map<std::string, std::uint32_t> ran_bodies_; ///< by body
    std::uint64_t calls_ = 0;
    bool silent_ = false;
    bool dies_after_ = false; ///< runs the next call and dies before it answers
};

class weight_store {
public:
    weight_store(net::task& task, const schema::standin_settings& settings);

    std::string open();

private:
    void on_request(exchange_id exchange, const net::http_request& request);

    net::task& task_;
    const schema::standin_settings& settings_;
    std::unique_ptr<net::http_server> server_;
    double tokens_ = 0;
    instant filled_at_{};
    std::uint64_t served_ = 0;
};

} // namespace cassia::standin
