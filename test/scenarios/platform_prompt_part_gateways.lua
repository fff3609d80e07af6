-- Guards against what is known of a part being lost with gateways or control keepers that end.
platform_fleet({ bad_parts = { ["0bad0001"] = "end_after_event 1 40" }, restart_ms = 2000 })
local troubles = {}
local function disturb_at(at, name, begin, finish, length)
  troubles[#troubles + 1] = { at = at, act = function() begin(name) end }
  troubles[#troubles + 1] = { at = at + length, act = function() finish(name) end }
end
disturb_at(7000, fronts[1], disturb_kill, disturb_start, 700)
disturb_at(8500, fronts[2], disturb_freeze, disturb_thaw, 1000)
disturb_at(10000, controls[1], disturb_kill, disturb_start, 700)
disturb_at(11500, fronts[3], disturb_kill, disturb_start, 700)
disturb_at(13000, fronts[1], disturb_freeze, disturb_thaw, 1000)
disturb_at(14500, controls[2], disturb_kill, disturb_start, 700)
play(24000, { sound_prompts(),
  bad_prompts({ every_ms = 100, from_ms = 3000, parts = { [2] = "0bad0001" } }) }, troubles)
expect_parts(count_parts("second part, gateways and control keepers disturbed", { "0bad0001" }))
