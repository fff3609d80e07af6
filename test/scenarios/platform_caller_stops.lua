-- Guards against a caller that stops reading for 3 s and loses its response, or gets it with a gap.
platform_fleet({ gateways = 1, endpoints = 4, memory_mib = 160 })
local ip = front_address("front-1"):match("^(.*):")
add_process("callers", "platform-callers", ip, { "--ip", ip, "--port", 9200, "--stopping", 6,
  "--slow-body", "bulk 150 6 20000", "--seconds", 2, "--bodies", 0 })
start("callers")
expect(wait_exit("callers") == 0, "the callers end by themselves")
local result = log_of("callers")
print((result:gsub("\n", "; ")) .. "peak " .. memory_peak_mib("front-1") .. " MiB")
expect(result:match("whole=6"), "all callers that stopped got their whole response: " .. result)
local sent, served = result:match("fast sent=(%d+) 200=(%d+)")
expect(sent and sent == served, "the others are served: " .. result)
