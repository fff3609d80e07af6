-- Guards against acknowledged state that is gone after as many disks as tolerated are lost while all other machines lose power.
local kinds = { "configuration", "job", "read", "end" }
power_loss = { losses = 3, calm_ms = 1200, tolerated = 2, ends_jobs = true,
  moment = function(loss) return { kinds[(seed + loss) % #kinds + 1] } end,
  disks = function() return 2 end,
  is_killed_before = function() return false end,
  loses_all_unsynced = function(loss) return loss % 2 == 1 end }
dofile(debug.getinfo(1, "S").source:match("^@(.*/)") .. "platform_power_loss.lua")
