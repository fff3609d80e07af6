#include "verbs.h"

#include "json_to_lua.h"
#include "power_loss.h"

#include <boost/json.hpp>
#include <lua.hpp>
#include <signal.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace cassia::scenario {

namespace {
constexpr unsigned connections = 512;
constexpr lua_Integer usual_timeout_ms = 20000;
} // namespace

asker::asker()
    : task_("asker"), client_(std::make_unique<net::http_client>(task_, connections)),
      once_client_(std::make_unique<net::raw_client>(task_, "")) {
    task_.start();
}

asker::~asker() {
    task_.post([this] {
        client_.reset();
        once_client_.reset();
        late_sockets_.reset();
    });
    task_.stop();
}

std::uint64_t asker::begin(const net::http_call& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::uint64_t id = ++last_;
    calls_[id];
    task_.post([this, id, call] {
        net::http_call_hooks hooks;
        const auto update = [this, id](const std::function<void(pending&)>& change) {
            const std::lock_guard<std::mutex> guard(mutex_);
            change(calls_.at(id));
            changed_.notify_all();
        };
        hooks.on_head = [update](const net::http_head& head) {
            update([&head](pending& one) {
                one.got.head = head;
                one.got.status = head.status;
            });
        };
        hooks.on_piece = [update](std::string_view piece) {
            update([piece](pending& one) { one.got.body.append(piece); });
        };
        hooks.on_end = [update] {
            update([](pending& one) {
                one.got.whole = true;
                one.done = true;
            });
        };
        hooks.on_failure = [update](const net::http_failure& failed) {
            update([&failed](pending& one) {
                one.got.problem = failed.cause.text;
                one.done = true;
            });
        };
        const call_id started = client_->start(call, std::move(hooks));
        update([started](pending& one) { one.call = started; });
    });
    return id;
}

asker::result asker::wait(std::uint64_t id) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this, id] { return calls_.at(id).done; });
    return calls_.at(id).got;
}

bool asker::is_done(std::uint64_t id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_.at(id).done;
}

void asker::abandon(std::uint64_t id) {
    task_.post([this, id] {
        pending found;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            pending& known = calls_.at(id);
            if (known.done)
                return;
            known.done = true;
            found.call = known.call;
            found.is_once = known.is_once;
            found.connection = known.connection;
        }
        if (found.connection != net::connection_id())
            late_sockets_->reset(found.connection);
        else if (found.is_once)
            once_client_->cancel(found.call);
        else
            client_->cancel(found.call);
        changed_.notify_all();
    });
}

static scenario_context& context_of(lua_State* lua) {
    return *static_cast<scenario_context*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

static std::string text_field(lua_State* lua, int table, const char* name) {
    lua_getfield(lua, table, name);
    const std::string text = lua_isstring(lua, -1) != 0 ? lua_tostring(lua, -1) : "";
    lua_pop(lua, 1);
    return text;
}

static std::map<std::string, std::string> map_field(lua_State* lua, int table, const char* name) {
    std::map<std::string, std::string> out;
    lua_getfield(lua, table, name);
    if (lua_istable(lua, -1)) {
        lua_pushnil(lua);
        while (lua_next(lua, -2) != 0) {
            const std::string key = lua_tostring(lua, -2);
            out[key] = luaL_tolstring(lua, -1, nullptr);
            lua_pop(lua, 2);
        }
    }
    lua_pop(lua, 1);
    return out;
}

static int number_field(lua_State* lua, int table, const char* name, int otherwise) {
    lua_getfield(lua, table, name);
    const int number =
        lua_isinteger(lua, -1) != 0 ? static_cast<int>(lua_tointeger(lua, -1)) : otherwise;
    lua_pop(lua, 1);
    return number;
}

static int verb_make(lua_State* lua) {
    fleet_shape shape;
    shape.keepers = number_field(lua, 1, "keepers", shape.keepers);
    shape.entries = number_field(lua, 1, "entries", shape.entries);
    shape.engines = number_field(lua, 1, "engines", shape.engines);
    shape.services = number_field(lua, 1, "services", shape.services);
    shape.zones = number_field(lua, 1, "zones", shape.zones);
    shape.software_versions = number_field(lua, 1, "software_versions", shape.software_versions);
    shape.relayed_engines = text_field(lua, 1, "relayed_engines") == "yes";
    shape.relayed_services = text_field(lua, 1, "relayed_services") == "yes";
    shape.keeper_sets = map_field(lua, 1, "keeper");
    shape.entry_sets = map_field(lua, 1, "entry");
    shape.engine_sets = map_field(lua, 1, "engine");
    fleet& made = context_of(lua).processes;
    made.make(shape);
    const std::vector<std::string> names = made.names();
    lua_newtable(lua);
    for (std::size_t i = 0; i < names.size(); ++i) {
        lua_pushstring(lua, names[i].c_str());
        lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
    }
    return 1;
}

static int verb_add_process(lua_State* lua) {
    std::vector<std::string> arguments;
    for (lua_Integer i = 1; i <= luaL_len(lua, 4); ++i) {
        lua_rawgeti(lua, 4, i);
        arguments.emplace_back(luaL_tolstring(lua, -1, nullptr));
        lua_pop(lua, 2);
    }
    context_of(lua).processes.add(luaL_checkstring(lua, 1), luaL_checkstring(lua, 2),
                                  luaL_checkstring(lua, 3), std::move(arguments));
    return 0;
}

static int verb_ip_of(lua_State* lua) {
    const std::string ip = context_of(lua).processes.ip_of(
        static_cast<int>(luaL_checkinteger(lua, 1)), static_cast<int>(luaL_checkinteger(lua, 2)));
    lua_pushstring(lua, ip.c_str());
    return 1;
}

static int verb_state_folder(lua_State* lua) {
    lua_pushstring(lua, context_of(lua).processes.state().c_str());
    return 1;
}

static int verb_start(lua_State* lua) {
    context_of(lua).processes.start(luaL_checkstring(lua, 1),
                                    static_cast<std::uint64_t>(luaL_optinteger(lua, 2, 0)));
    return 0;
}

static int verb_signal(lua_State* lua) {
    context_of(lua).processes.signal(luaL_checkstring(lua, 1),
                                     static_cast<int>(luaL_checkinteger(lua, 2)));
    return 0;
}

static int verb_wait_exit(lua_State* lua) {
    lua_pushinteger(lua, context_of(lua).processes.wait(luaL_checkstring(lua, 1)));
    return 1;
}

static int verb_is_running(lua_State* lua) {
    lua_pushboolean(lua, context_of(lua).processes.is_running(luaL_checkstring(lua, 1)) ? 1 : 0);
    return 1;
}

static int verb_wipe_disk(lua_State* lua) {
    context_of(lua).processes.wipe_disk(luaL_checkstring(lua, 1));
    return 0;
}

static int verb_track_syncs(lua_State* lua) {
    context_of(lua).processes.track_syncs(luaL_checkstring(lua, 1),
                                          static_cast<int>(luaL_optinteger(lua, 2, 0)));
    return 0;
}

// Of a process that was killed. The third argument says whether all that wasn't synced is lost.
// Returns how many files and names were set back.
static int verb_lose_power(lua_State* lua) {
    const process& one = context_of(lua).processes.find(luaL_checkstring(lua, 1));
    const power_loss_count count = lose_power(one.data_dir, one.synced_dir,
                                              static_cast<std::uint64_t>(luaL_checkinteger(lua, 2)),
                                              lua_toboolean(lua, 3) != 0);
    lua_pushinteger(lua, count.files_set_back);
    lua_pushinteger(lua, count.names_set_back);
    return 2;
}

static int verb_data_dir(lua_State* lua) {
    lua_pushstring(lua, context_of(lua).processes.find(luaL_checkstring(lua, 1)).data_dir.c_str());
    return 1;
}

static int verb_address(lua_State* lua) {
    lua_pushstring(lua, context_of(lua).processes.find(luaL_checkstring(lua, 1)).address.c_str());
    return 1;
}

enum class link_change { cut, heal, hold, release, silence };

template <link_change change>
static int verb_link(lua_State* lua) {
    fleet& made = context_of(lua).processes;
    const std::string from = made.find(luaL_checkstring(lua, 1)).ip;
    const std::string to = made.find(luaL_checkstring(lua, 2)).ip;
    if (change == link_change::cut)
        made.links().cut(from, to);
    else if (change == link_change::heal)
        made.links().heal(from, to);
    else if (change == link_change::hold)
        made.links().hold(from, to);
    else if (change == link_change::release)
        made.links().release(from, to);
    else
        made.links().silence(from, to);
    return 0;
}

// Routes between processes that were added one by one: a list of { from = IP:PORT, to = IP:PORT }.
static int verb_start_relay(lua_State* lua) {
    fleet& made = context_of(lua).processes;
    for (lua_Integer i = 1; i <= luaL_len(lua, 1); ++i) {
        lua_geti(lua, 1, i);
        made.links().add_route(text_field(lua, -1, "from"), text_field(lua, -1, "to"));
        lua_pop(lua, 1);
    }
    made.links().start();
    return 0;
}

static int verb_cut_responses(lua_State* lua) {
    fleet& made = context_of(lua).processes;
    made.links().cut_responses(made.find(luaL_checkstring(lua, 1)).ip,
                               static_cast<std::size_t>(luaL_checkinteger(lua, 2)));
    return 0;
}

static int verb_respond_early(lua_State* lua) {
    fleet& made = context_of(lua).processes;
    made.links().respond_early(made.find(luaL_checkstring(lua, 1)).ip, luaL_checkstring(lua, 2),
                               static_cast<unsigned>(luaL_checkinteger(lua, 3)));
    return 0;
}

static bool is_set(lua_State* lua, int table, const char* name) {
    lua_getfield(lua, table, name);
    const bool is = lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    return is;
}

static int verb_begin_ask(lua_State* lua) {
    net::http_call call;
    call.method = text_field(lua, 1, "method");
    const std::string to = text_field(lua, 1, "to");
    call.to = http_address(
        to.find(':') == std::string::npos ? context_of(lua).processes.find(to).address : to);
    call.path = text_field(lua, 1, "path");
    call.body = text_field(lua, 1, "body");
    call.headers = map_field(lua, 1, "headers");
    call.progress_timeout =
        milliseconds(number_field(lua, 1, "timeout_ms", static_cast<int>(usual_timeout_ms)));
    call.fresh_connection = is_set(lua, 1, "fresh_connection");
    asker& calls = context_of(lua).calls;
    const milliseconds late_body(number_field(lua, 1, "late_body_ms", 0));
    std::uint64_t id = 0;
    if (late_body > milliseconds(0))
        id = calls.begin_late_body(call, late_body);
    else
        id = is_set(lua, 1, "once") ? calls.begin_once(call) : calls.begin(call);
    lua_pushinteger(lua, static_cast<lua_Integer>(id));
    return 1;
}

static int verb_wait_ask(lua_State* lua) {
    const asker::result got =
        context_of(lua).calls.wait(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
    lua_newtable(lua);
    lua_pushinteger(lua, got.status);
    lua_setfield(lua, -2, "status");
    lua_pushlstring(lua, got.body.data(), got.body.size());
    lua_setfield(lua, -2, "body");
    lua_pushstring(lua, got.problem.c_str());
    lua_setfield(lua, -2, "problem");
    lua_pushboolean(lua, got.whole ? 1 : 0);
    lua_setfield(lua, -2, "whole");
    lua_newtable(lua);
    for (const std::pair<const std::string, std::string>& header : got.head.headers) {
        lua_pushstring(lua, header.second.c_str());
        lua_setfield(lua, -2, header.first.c_str());
    }
    lua_setfield(lua, -2, "headers");
    return 1;
}

static int verb_is_done(lua_State* lua) {
    lua_pushboolean(
        lua, context_of(lua).calls.is_done(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)))
                 ? 1
                 : 0);
    return 1;
}

static int verb_abandon(lua_State* lua) {
    context_of(lua).calls.abandon(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
    return 0;
}

static int verb_decode(lua_State* lua) {
    boost::json::error_code problem;
    const boost::json::value value = boost::json::parse(luaL_checkstring(lua, 1), problem);
    if (problem)
        lua_pushnil(lua);
    else
        push_json(lua, value);
    return 1;
}

static int verb_encode(lua_State* lua) {
    const std::string text = boost::json::serialize(read_json(lua, 1));
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

static int verb_sleep(lua_State* lua) {
    std::this_thread::sleep_for(std::chrono::milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
}

// The most memory that a process has had so far, in MiB, rounded up.
static int verb_memory_peak_mib(lua_State* lua) {
    constexpr lua_Integer kib_in_mib = 1024;
    const process& one = context_of(lua).processes.find(luaL_checkstring(lua, 1));
    std::ifstream status("/proc/" + std::to_string(one.pid) + "/status");
    const std::string key = "VmHWM:";
    lua_Integer kib = 0;
    for (std::string word; status >> word;) {
        if (word == key)
            status >> kib;
    }
    lua_pushinteger(lua, (kib + kib_in_mib - 1) / kib_in_mib);
    return 1;
}

static int verb_now(lua_State* lua) {
    lua_pushinteger(lua, monotonic_now().time_since_epoch().count() / 1000);
    return 1;
}

static int verb_log_of(lua_State* lua) {
    fleet& made = context_of(lua).processes;
    std::ifstream file(made.state() + "/" + luaL_checkstring(lua, 1) + ".log");
    std::stringstream text;
    text << file.rdbuf();
    lua_pushstring(lua, text.str().c_str());
    return 1;
}

void register_verbs(lua_State* lua, scenario_context& context) {
    const luaL_Reg verbs[] = {{"make_processes", verb_make},
                              {"add_process", verb_add_process},
                              {"ip_of", verb_ip_of},
                              {"state_folder", verb_state_folder},
                              {"start_process", verb_start},
                              {"send_signal", verb_signal},
                              {"wait_exit", verb_wait_exit},
                              {"is_running", verb_is_running},
                              {"wipe_disk", verb_wipe_disk},
                              {"track_syncs", verb_track_syncs},
                              {"lose_power", verb_lose_power},
                              {"data_dir", verb_data_dir},
                              {"address", verb_address},
                              {"cut_one_way", verb_link<link_change::cut>},
                              {"heal_one_way", verb_link<link_change::heal>},
                              {"hold_one_way", verb_link<link_change::hold>},
                              {"release_one_way", verb_link<link_change::release>},
                              {"silence_one_way", verb_link<link_change::silence>},
                              {"start_relay", verb_start_relay},
                              {"cut_responses", verb_cut_responses},
                              {"respond_early", verb_respond_early},
                              {"begin_ask", verb_begin_ask},
                              {"wait_ask", verb_wait_ask},
                              {"is_done", verb_is_done},
                              {"abandon", verb_abandon},
                              {"decode", verb_decode},
                              {"encode", verb_encode},
                              {"sleep", verb_sleep},
                              {"now", verb_now},
                              {"memory_peak_mib", verb_memory_peak_mib},
                              {"log_of", verb_log_of}};
    for (const luaL_Reg& verb : verbs) {
        lua_pushlightuserdata(lua, &context);
        lua_pushcclosure(lua, verb.func, 1);
        lua_setglobal(lua, verb.name);
    }
}

} // namespace cassia::scenario
