/// A relay between processes that cuts, delays or goes silent, by pairs and one way.
///
/// Each process is reached at an address of the relay, which passes bytes on to the address where
/// it really listens. Processes connect from their own IP number, so the relay knows both ends.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cassia::scenario {

class relay {
public:
    relay();
    ~relay();

    /// Passes on what arrives at `from` to `to`; both IP:PORT.
    void add_route(const std::string& from, const std::string& to);
    void start();

    /// Bytes from one IP number to another vanish; connections stay open and new ones, too, seem
    /// to work. Sides are IP numbers.
    void cut(const std::string& from_ip, const std::string& to_ip);
    void heal(const std::string& from_ip, const std::string& to_ip);
    /// Bytes from one IP number to another wait until the link is released, as those of a
    /// connection whose packets are lost for a while and sent again.
    void hold(const std::string& from_ip, const std::string& to_ip);
    void release(const std::string& from_ip, const std::string& to_ip);
    /// Connections open now between the two go silent for good; new ones work.
    void silence(const std::string& from_ip, const std::string& to_ip);
    /// Connections made from now on to `to_ip` are closed once they have passed so many bytes back;
    /// 0: they aren't.
    void cut_responses(const std::string& to_ip, std::size_t bytes);
    /// From now on the next bytes to `to_ip` on a connection get this response. Nothing more is
    /// read, and the connection is reset after `delay_ms`. Empty: they are passed on.
    void respond_early(const std::string& to_ip, const std::string& response, unsigned delay_ms);

private:
    struct early_response {
        std::string bytes;
        unsigned delay_ms = 0;
    };
    struct route {
        int listener = -1;
        std::string to;
        std::string to_ip;
    };
    struct link {
        int caller = -1;
        int callee = -1;
        std::string caller_ip;
        std::string callee_ip;
        bool silent = false;
        std::size_t response_limit = 0; ///< bytes to the caller that are left; 0: no limit
        std::string to_callee; ///< bytes that the callee hasn't taken yet; no more are read then
        std::string to_caller;
    };

    void run();
    void accept_link(const route& at);
    bool pass(link& one, bool to_callee);
    static void respond_and_reset(const link& one, early_response response);
    bool serve(link& one, bool from_caller, int events);
    static bool flush(int to, std::string& bytes);
    bool is_cut(const std::string& from_ip, const std::string& to_ip);
    bool is_held(const link& one, bool from_caller) const;

    std::vector<route> routes_;
    std::vector<link> links_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::pair<std::string, std::string>> holds_;
    std::set<std::pair<std::string, std::string>> to_silence_;
    std::map<std::string, std::size_t> response_limits_;    ///< by the callee's IP number
    std::map<std::string, early_response> early_responses_; ///< by the callee's IP number
    std::mutex mutex_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cassia::scenario
