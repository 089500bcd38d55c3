#!/usr/bin/env node
import '../lib/main.js';
