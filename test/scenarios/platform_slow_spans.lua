-- Guards against calls that keep going to endpoints which report that they are slow for a moment.
platform_fleet({ endpoints = 4, gateways = 3, slots = 6, endpoint_options = { "--call-ms", "40",
  "--load-fields", os.getenv("LOAD_FIELDS") or "4", "--slow-percent", "25", "--slow-factor", "4" } })
local seconds = tonumber(os.getenv("LOAD_SECONDS") or "12")
play(seconds * 1000, { { path = "/f/x", every_ms = 1000 / 150,
  bodies = function(number) return "lookup " .. number end } })
local times, late, slow = {}, 0, 0
for _, front in ipairs(fronts) do
  for line in log_of(front):gmatch("[^\n]+") do
    local ms = line:match(" route=safe .* status=200 .* total_ms=(%d+)")
    if ms then
      times[#times + 1] = tonumber(ms)
      late = late + (tonumber(ms) > 200 and 1 or 0)
      slow = slow + (tonumber(ms) > 110 and 1 or 0)
    end
  end
end
table.sort(times)
print(string.format("%d calls, %.4f within 200 ms, %.4f within 110 ms, 99%% within %d ms", #times,
  1 - late / #times, 1 - slow / #times, times[math.ceil(0.99 * #times)]))
expect(#times > 140 * seconds, "nearly all calls are answered")
-- Without the fourth field a sixth of the calls takes longer than 110 ms.
expect(slow < 0.11 * #times, "few calls run at slow endpoints")
