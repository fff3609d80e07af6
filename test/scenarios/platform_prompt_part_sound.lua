-- Guards against sound parts of prompts that are blamed for endpoints that end or freeze otherwise.
platform_fleet({ endpoints = 12, restart_ms = 2000 })
local ended_at = {}
local function kill_at_once(numbers)
  ended_at[#ended_at + 1] = now()
  for _, i in ipairs(numbers) do send_signal(endpoints[i], 9) end
end
local troubles = {
  { at = 5000, act = function() kill_at_once({ 1, 5, 9, 10 }) end },
  { at = 17000, act = function() kill_at_once({ 3, 6, 9, 12 }) end } }
for i = 0, 9 do
  local name = endpoints[5 * i % 12 + 1]
  if i % 3 == 2 then
    troubles[#troubles + 1] = { at = 8000 + 700 * i, act = function() disturb_freeze(name) end }
    troubles[#troubles + 1] = { at = 9500 + 700 * i, act = function() disturb_thaw(name) end }
  else
    troubles[#troubles + 1] = { at = 8000 + 700 * i, act = function() disturb_kill(name) end }
  end
end
table.sort(troubles, function(a, b) return a.at < b.at end)
play(20000, { sound_prompts() }, troubles)
local sound = count_parts("no bad part", {}).sound
-- A stream under way when several endpoints end may use both of its attempts at these.
local lost = 0
for _, call in ipairs(calls) do
  local got = wait_ask(call.ask)
  local excused = false
  for _, at in ipairs(ended_at) do excused = excused or (call.at <= at and call.at > at - 300) end
  lost = lost + (not (got.status == 200 and got.whole) and not excused and 1 or 0)
end
expect(sound.sent > 700, "sound requests are sent")
expect(sound.rejected == 0, "no sound request is rejected: " .. sound.rejected)
expect(lost == 0, "sound requests are served but for " .. lost)
