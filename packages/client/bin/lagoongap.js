#!/usr/bin/env node
import '@lagoongap/client/main.js';
