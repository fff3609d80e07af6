/// Batch jobs as callers see them: /v1/batches.
#pragma once

#include "cassia/entry/http_task.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassia::entry {

class batch_api {
public:
    explicit batch_api(front_context& context) : context_(context) {}

    void serve(exchange_id exchange, const net::http_request& request, const caller& from,
               const std::string& request_id);

private:
    /// A submission on its way to the keepers, part by part.
    struct submission {
        exchange_id exchange;
        std::string request_id;
        schema::job_begin begin;
        std::vector<schema::job_items> parts;
        std::size_t next_part = 0;
        int tries = 0;
    };
    using submission_pointer = std::shared_ptr<submission>;
    using work_handler = std::function<void(const schema::work_reply&)>;

    // Submission (batch_submission.cpp).
    void submit(exchange_id exchange, const net::http_request& request, const caller& from,
                const std::string& request_id);
    void send_begin(const submission_pointer& one);
    void send_next_part(const submission_pointer& one);
    void send_commit(const submission_pointer& one);
    void ask_work(exchange_id exchange, const std::string& request_id, group_id group,
                  const schema::work_command& command, const work_handler& done);

    // Questions and cancellation (batch_api.cpp).
    void list(exchange_id exchange, const caller& from, const std::string& request_id);
    void show(exchange_id exchange, const std::string& job, const caller& from,
              const std::string& request_id);
    void cancel(exchange_id exchange, const std::string& job, const caller& from,
                const std::string& request_id);
    void show_item(exchange_id exchange, const std::string& job, const std::string& custom_id,
                   const caller& from, const std::string& request_id);
    void stream_results(exchange_id exchange, const std::string& job, std::uint32_t from_item,
                        const std::string& team, const std::string& request_id, bool begun);
    void query(exchange_id exchange, const std::string& request_id, group_id group,
               const schema::work_query& question, const work_handler& done);
    void answer_job(exchange_id exchange, const std::string& request_id, int status,
                    const schema::job_view& job);
    group_id group_of(const std::string& job) const;

    front_context& context_;
};

} // namespace cassia::entry
