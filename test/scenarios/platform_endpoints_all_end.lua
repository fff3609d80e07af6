-- Guards against requests that are rejected while all endpoints start again.
local start_again_ms = 1500
platform_fleet({ restart_ms = start_again_ms })
local ended_at = {}
local function end_all()
  ended_at[#ended_at + 1] = now()
  for _, name in ipairs(endpoints) do disturb_kill(name) end
end
play(12000, { innocent_streams(25) }, { { at = 3000, act = end_all }, { at = 8000, act = end_all } })
local sent_meanwhile, served, rejected = 0, 0, 0
for _, call in ipairs(calls) do
  local got = wait_ask(call.ask)
  rejected = rejected + (got.status == 503 and 1 or 0)
  for _, time in ipairs(ended_at) do
    if call.at > time + 50 and call.at < time + start_again_ms then
      sent_meanwhile = sent_meanwhile + 1
      served = served + (got.status == 200 and got.whole and 1 or 0)
    end
  end
end
print(string.format("served %d of %d sent meanwhile, rejected %d of all", served, sent_meanwhile,
  rejected))
expect(#ended_at == 2 and sent_meanwhile > 50, "requests are sent meanwhile: " .. sent_meanwhile)
expect(rejected == 0, "no request is rejected: " .. rejected)
expect(served == sent_meanwhile, "requests sent meanwhile wait and are served: " .. served)
