-- Guards against a gateway that exceeds its memory for callers that don't read, or for many large
-- bodies, and against other callers that aren't served meanwhile.
local memory_mib = 160
platform_fleet({ gateways = 1, endpoints = 10, slots = 12, memory_mib = memory_mib, event_ms = 4 })
local ip = front_address("front-1"):match("^(.*):")
add_process("callers", "platform-callers", ip, { "--ip", ip, "--port", 9200, "--slow", 60,
  "--slow-bytes-per-s", 8192, "--slow-body", "bulk 300 2 20000", "--bodies", 150,
  "--seconds", 5 })
start("callers")
expect(wait_exit("callers") == 0, "the callers end by themselves")
local result = log_of("callers")
local peak = memory_peak_mib("front-1")
local dropped = select(2, log_of("front-1"):gsub("event=slow_caller_dropped", ""))
local refused = select(2, log_of("front-1"):gsub("event=body_refused", ""))
print(result:gsub("\n", "; ") .. "peak " .. peak .. " MiB; slow_caller_dropped " .. dropped ..
  ", body_refused " .. refused)
expect(is_running("front-1"), "the gateway goes on")
expect(peak < memory_mib, "the gateway stays below its memory: " .. peak .. " MiB")
local sent = tonumber(result:match("fast sent=(%d+)"))
local served = tonumber(result:match("fast sent=%d+[^\n]* 200=(%d+)") or 0)
expect(served * 100 >= sent * 99, "99 of 100 other callers are served: " .. served .. " of " .. sent)
local unanswered = tonumber(result:match("bodies[^\n]* 0=(%d+)") or 0)
expect(unanswered == 0, "each body is answered, also if refused: " .. unanswered .. " weren't")
expect(refused > 0, "bodies that don't fit are refused")
