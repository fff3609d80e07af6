-- Guards against keepers with slow disks that elect no leader after all have restarted.
local recover_ms = 12000
platform_fleet({ gateways = 1, endpoints = 1, sync_delay_us = 250000 })
for round = 1, 3 do
  for _, list in ipairs({ controls, works }) do
    for _, name in ipairs(list) do send_signal(name, 9) end
    for _, name in ipairs(list) do wait_exit(name) end
  end
  for _, list in ipairs({ controls, works }) do
    for _, name in ipairs(list) do start(name) end
  end
  local from = now()
  local turn, version = 0, 10 + round
  eventually(recover_ms, "a configuration is accepted", function()
    turn = turn % 3 + 1
    return answer(begin_configuration(turn, platform_configuration(version))).status == 200
  end)
  print("round " .. round .. ": accepted after " .. now() - from)
end
